"""Provide the fuzz tests package."""
