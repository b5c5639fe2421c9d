"""Run calls to plain services, at most once where they are not idempotent."""
