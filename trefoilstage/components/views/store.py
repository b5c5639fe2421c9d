"""Define the interface of the store of keyed topics that all hosts share."""

from dataclasses import dataclass
from enum import StrEnum
from typing import Protocol

from trefoilstage.components.views.keyed_view import KeyedRecord
from trefoilstage.exceptions import NotReadyError, TrefoilstageError

# Messages between hosts carry positions of up to 53 bits.
OFFSET_BITS = 40


class Topic(StrEnum):
    """List the keyed topics of the store."""

    CONFIGURATION = "configuration"
    TARGETS = "targets"
    HOSTS = "hosts"
    ACCOUNTS = "accounts"
    LOCKS = "locks"
    ROSTERS = "rosters"
    CRASHES = "crashes"


def make_position(n_restored: int, offset: int) -> int:
    """Return the position of an offset of a store that came back that often.

    Offsets are given out again after the store came back from a copy, positions never.
    """
    return (n_restored << OFFSET_BITS) | offset


def split_position(position: int) -> tuple[int, int]:
    """Return how often the store had come back from a copy, and the offset."""
    return position >> OFFSET_BITS, position & ((1 << OFFSET_BITS) - 1)


class StoreUnavailableError(NotReadyError):
    """Report that the store did not reply; a write may have taken effect."""


class StoreRefusedError(StoreUnavailableError):
    """Report that the store refused a call; the call had no effect."""


class OffsetExpiredError(TrefoilstageError):
    """Report that the store no longer keeps the requested offset."""


@dataclass(frozen=True, kw_only=True, slots=True)
class RecordBatch:
    """Represent records read from a topic and the offset that follows them."""

    records: list[KeyedRecord]
    end_offset: int


class Store(Protocol):
    """Read and write keyed topics."""

    async def list_newest(self, topic: Topic, partition: int = 0) -> RecordBatch:
        """Return the newest record of each key in a partition."""

    async def read(
        self, topic: Topic, offset: int, wait_s: float, partition: int = 0
    ) -> RecordBatch:
        """Return the records from an offset on; wait up to `wait_s` if none exist.

        Raise OffsetExpiredError if the store no longer keeps the offset.
        """

    async def put(
        self,
        topic: Topic,
        key: str,
        value: bytes | None,
        *,
        partition: int = 0,
        expected_end_offset: int | None = None,
    ) -> int | None:
        """Write a key's value and return its offset; a value of None deletes the key.

        With `expected_end_offset`, write only if the topic ends at that offset, else
        return None.
        """
