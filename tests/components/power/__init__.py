"""Test the power package."""
