"""Provide the ledger package."""
