"""Provide the load and experiment tool."""
