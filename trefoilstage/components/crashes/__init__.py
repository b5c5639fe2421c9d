"""Decide which requests crash the targets that run them."""
