"""Test the views of keyed topics."""
