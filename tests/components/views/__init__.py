"""Test the views components."""
