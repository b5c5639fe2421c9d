"""Drive a fleet from the command line."""
