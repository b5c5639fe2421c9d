"""Stand in for the outside systems in tests and demos."""
