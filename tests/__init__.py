"""Test trefoilstage."""
