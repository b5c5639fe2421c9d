"""Decide which hosts of the log are live, and announce this one there."""
