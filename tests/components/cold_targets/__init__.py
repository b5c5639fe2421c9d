"""Test the cold_targets package."""
