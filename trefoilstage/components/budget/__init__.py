"""Provide the budget package."""
