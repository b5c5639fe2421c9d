"""Crowds of clients that don't behave, on real hosts; each test runs by itself."""
