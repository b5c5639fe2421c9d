"""Provide the booking package."""
