"""Soak real hosts in random faults and check the promises while they run."""
