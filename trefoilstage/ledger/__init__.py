"""Fold draws, settlements and seals into balances; pure."""
