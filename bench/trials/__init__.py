"""Hold small bounded measurements beside the scenarios."""
