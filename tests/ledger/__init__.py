"""Test the ledger package."""
