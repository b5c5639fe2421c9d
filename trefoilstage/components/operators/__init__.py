"""Provide the operators package."""
