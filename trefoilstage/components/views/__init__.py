"""Follow the store's keyed topics and share their records between hosts."""
