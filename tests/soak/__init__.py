"""Run real hosts under random faults and check the guarantees meanwhile."""
