"""Test the admission queue of the fleet."""
