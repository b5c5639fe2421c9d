"""Test sends through peers."""
