"""Provide the cli package."""
