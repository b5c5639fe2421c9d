"""Provide the components package."""
