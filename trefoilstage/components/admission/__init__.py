"""Queue chat requests, and refuse those that would miss their deadline."""
