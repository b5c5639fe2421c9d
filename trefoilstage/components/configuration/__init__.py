"""Provide the configuration package."""
