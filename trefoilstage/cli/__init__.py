"""Operate a fleet from the command line."""
