"""Test the fleet components."""
