"""Test the routing package."""
