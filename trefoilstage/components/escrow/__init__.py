"""Spend prepaid budgets from escrow drawn on the store."""
