"""Permit requests to targets that take few of them, over all hosts."""
