"""Test the components of a host."""
