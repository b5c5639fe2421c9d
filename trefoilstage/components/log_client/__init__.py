"""Provide the log client package."""
