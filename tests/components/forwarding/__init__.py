"""Test the forwarding components."""
