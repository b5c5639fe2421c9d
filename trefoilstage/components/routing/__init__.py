"""Provide the routing package."""
