"""Provide the promises package."""
