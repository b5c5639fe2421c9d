"""Test the helpers that know nothing of the product."""
