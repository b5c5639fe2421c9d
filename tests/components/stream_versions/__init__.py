"""Test the stream versions package."""
