"""Hold what knows nothing of the product: hashing, back-off, mappings."""
