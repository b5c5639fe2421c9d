"""Test with randomly generated input."""
