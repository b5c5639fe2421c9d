"""Join calls with one idempotency key to one run, at the home of the key."""
