"""Forward callers' requests to targets, within budgets and without unsafe retries."""
