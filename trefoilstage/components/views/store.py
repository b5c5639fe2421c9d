"""Define the store that the hosts share, as the parts need it."""

from dataclasses import dataclass
from enum import StrEnum
from typing import Protocol

from trefoilstage.components.views.keyed_view import KeyedRecord
from trefoilstage.exceptions import NotReadyError, TrefoilstageError


class Topic(StrEnum):
    """Name the keyed topics that the parts read."""

    CONFIGURATION = "configuration"
    TARGETS = "targets"
    HOSTS = "hosts"
    ACCOUNTS = "accounts"
    LOCKS = "locks"
    ROSTERS = "rosters"
    CRASHES = "crashes"


class StoreUnavailableError(NotReadyError):
    """Report that the store gave no answer; a write may have taken effect."""


class StoreRefusedError(StoreUnavailableError):
    """Report that the store refused a call; nothing was done."""


class OffsetExpiredError(TrefoilstageError):
    """Report that the store no longer keeps the offset asked for."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Listing:
    """Hold the newest record of each key, and the offset that follows them."""

    records: list[KeyedRecord]
    end_offset: int


class Store(Protocol):
    """Read and write keyed topics."""

    async def list_newest(self, topic: Topic, partition: int = 0) -> Listing:
        """Return the newest record of each key."""

    async def read(
        self, topic: Topic, offset: int, wait_s: float, partition: int = 0
    ) -> Listing:
        """Return the records from an offset on; wait for one if there is none."""

    async def put(
        self,
        topic: Topic,
        key: str,
        value: bytes | None,
        *,
        partition: int = 0,
        at: int | None = None,
    ) -> int | None:
        """Write a key and return its offset, None if the topic didn't end at `at`."""
