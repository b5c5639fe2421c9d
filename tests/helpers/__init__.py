"""Provide the helpers package."""
