"""Follow the store's keyed topics and share them between hosts."""
