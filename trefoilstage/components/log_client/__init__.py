"""Append to the log and fold its records, in order and once."""
