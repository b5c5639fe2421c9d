"""Tests of the guarantees to callers and operators, with real processes."""
