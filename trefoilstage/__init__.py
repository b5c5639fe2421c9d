"""Route requests for prepaid token budgets over a fleet of hosts."""
