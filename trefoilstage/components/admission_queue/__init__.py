"""Share the capacity of a service among all hosts by a queue at its home."""
