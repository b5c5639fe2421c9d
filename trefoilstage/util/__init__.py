"""Provide general utilities: hashing, retry back-off, stall detection, startup."""
