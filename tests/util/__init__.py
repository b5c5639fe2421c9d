"""Test the general utilities."""
