"""Test the escrow components."""
