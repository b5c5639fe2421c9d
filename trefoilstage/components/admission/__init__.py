"""Provide the admission package."""
