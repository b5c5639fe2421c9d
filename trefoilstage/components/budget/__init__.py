"""Draw tokens from the ledger, witness draws and recover those of lost hosts."""
