"""Bound what clients may make a process hold: bytes and connections, on all ports."""
