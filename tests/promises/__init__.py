"""Test the guarantees to users on fleets of real processes."""
