"""Limit the requests that reach a target soon after its start, over all hosts."""
