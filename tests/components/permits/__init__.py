"""Test the permits package."""
