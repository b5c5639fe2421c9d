"""Measure single design choices with small, bounded programs."""
