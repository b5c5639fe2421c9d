"""Choose a target for a chat request by its cached prompt prefixes and its load."""
