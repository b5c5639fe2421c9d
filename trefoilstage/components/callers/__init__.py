"""Decide who may call and what a chat call may spend, and answer its callers."""
