"""Provide the keys package."""
