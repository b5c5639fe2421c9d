"""Provide the peers package."""
