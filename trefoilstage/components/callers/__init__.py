"""Authenticate callers, run their chat requests within budget, and respond to them."""
