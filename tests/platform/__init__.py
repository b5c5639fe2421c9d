"""Test the adapter to the platform."""
