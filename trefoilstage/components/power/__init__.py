"""Provide the power package."""
