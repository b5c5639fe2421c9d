"""Adapt the platform's settings, headers, store and configuration.

This package only translates and makes no decisions. It decodes each of the platform's
names once, into the types of the components.
"""
