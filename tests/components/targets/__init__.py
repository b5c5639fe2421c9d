"""Test the targets package."""
