"""Run each idempotency key once in the fleet; its home decides which host runs it."""
