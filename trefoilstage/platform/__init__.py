"""Speak to the platform: its settings, headers, store and configuration.

Nothing here decides. Each name on the wire is decoded once, into the types of the
components.
"""
