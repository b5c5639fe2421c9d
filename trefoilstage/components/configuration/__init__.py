"""Apply the configuration in force to the ledger streams."""
