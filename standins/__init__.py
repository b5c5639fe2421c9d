"""Provide the standins package."""
