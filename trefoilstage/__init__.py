"""Provide the trefoilstage package."""
