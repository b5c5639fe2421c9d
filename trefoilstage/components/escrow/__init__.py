"""Reserve tokens of prepaid budgets for requests, from escrow drawn on the store."""
