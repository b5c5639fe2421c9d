"""Provide the util package."""
