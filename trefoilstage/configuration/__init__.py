"""Merge, check and fold the operators' configuration; pure."""
