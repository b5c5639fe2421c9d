"""Limit the size of mappings."""


def drop_oldest(mapping: dict[str, int], limit: int) -> None:
    """Remove the oldest entries until at most `limit` remain."""
    while len(mapping) > limit:
        del mapping[next(iter(mapping))]
