"""Bound mappings that grow."""


def drop_oldest(mapping: dict[str, int], limit: int) -> None:
    """Remove the oldest entries beyond a limit."""
    while len(mapping) > limit:
        del mapping[next(iter(mapping))]
