"""Provide the targets package."""
