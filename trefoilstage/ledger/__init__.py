"""Compute account balances from the records of a ledger stream; without I/O."""
