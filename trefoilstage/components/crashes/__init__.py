"""Detect and block requests that crash the targets that run them."""
