"""Queue chat calls, and refuse those that can not be in time."""
