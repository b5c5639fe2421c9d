"""Test the admission package."""
