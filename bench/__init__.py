"""Load test fleets of real processes and emulate fleets in virtual time."""
