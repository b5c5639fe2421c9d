"""Tests of what bounds clients."""
