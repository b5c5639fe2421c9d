"""Test the crashes package."""
