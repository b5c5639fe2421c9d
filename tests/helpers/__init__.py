"""Test the shared helpers."""
