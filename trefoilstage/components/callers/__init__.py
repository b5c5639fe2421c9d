"""Provide the callers package."""
