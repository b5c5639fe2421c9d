"""Test the links between hosts."""
