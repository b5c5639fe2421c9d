"""Collect data that arrives in parts of any size; pure."""

# A smaller part is joined with the one before: each has a cost of its own. A larger one
# would be moved as it grows.
PART_BYTES = 16 * 1024


class PartList:
    """Collect data without copies of the whole."""

    def __init__(self) -> None:
        self.n_bytes = 0
        self.parts: list[bytearray] = []

    def add(self, data: bytes) -> None:
        """Add data at the end."""
        self.n_bytes += len(data)
        if self.parts and len(self.parts[-1]) + len(data) <= PART_BYTES:
            self.parts[-1] += data
        else:
            self.parts.append(bytearray(data))

    def join(self) -> bytes:
        """Return all data."""
        return b"".join(self.parts)
