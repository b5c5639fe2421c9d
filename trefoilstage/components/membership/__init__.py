"""Provide the membership package."""
