"""Merge, validate and fold the operators' configuration files; without I/O."""
