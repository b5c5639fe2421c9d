"""Soak test: real hosts under random faults, checked for broken guarantees."""
