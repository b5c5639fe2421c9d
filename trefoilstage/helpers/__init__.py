"""Provide what several components share: codec, log events, state dump, metrics."""
