"""Provide the tests package."""
