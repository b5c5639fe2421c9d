"""Route requests across a fleet of hosts and charge them to prepaid token budgets."""
