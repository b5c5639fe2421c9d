"""Merge the records of a topic into the newest value of each key; no I/O."""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Generic, TypeVar

ValueT = TypeVar("ValueT")


@dataclass(frozen=True, kw_only=True, slots=True)
class KeyedRecord:
    """Represent a key's value at an offset; a value of None deletes the key."""

    key: str
    offset: int
    value: bytes | None


@dataclass(frozen=True, kw_only=True, slots=True)
class Change(Generic[ValueT]):
    """Represent the new value of a key; None if the key was deleted."""

    key: str
    value: ValueT | None


class KeyedView:
    """Keep the newest record of each key, whatever source the records come from.

    The record with the highest offset wins, regardless of the order of arrival. A
    stale reply of the store or of a lagging peer can therefore never restore an older
    configuration or a target that has left.
    """

    def __init__(self, *, reports_repeats: bool = False) -> None:
        # Whether a value that is written again counts as a change.
        self._reports_repeats = reports_repeats
        self.records: dict[str, KeyedRecord] = {}
        self.next_offset = 0

    def merge(self, records: Iterable[KeyedRecord]) -> list[KeyedRecord]:
        """Merge records and return those that changed a key's value."""
        changed: list[KeyedRecord] = []
        for record in records:
            known = self.records.get(record.key)
            if known is not None and known.offset >= record.offset:
                continue
            self.records[record.key] = record
            self.next_offset = max(self.next_offset, record.offset + 1)
            is_repeat = (known.value if known else None) == record.value
            if not is_repeat or (self._reports_repeats and record.value is not None):
                changed.append(record)
        return changed

    def merge_listing(
        self,
        records: list[KeyedRecord],
        end_offset: int,
        *,
        keeps_missing: bool = False,
    ) -> list[KeyedRecord]:
        """Merge a complete listing; a missing key was deleted before `end_offset`.

        With `keeps_missing`, it may only not have been written again yet.
        """
        listed = {record.key for record in records}
        deleted = [
            KeyedRecord(key=key, offset=end_offset - 1, value=None)
            for key, known in self.records.items()
            if not keeps_missing
            and key not in listed
            and known.value is not None
            and known.offset < end_offset - 1
        ]
        changed = self.merge([*records, *deleted])
        self.next_offset = max(self.next_offset, end_offset)
        return changed

    def drop_oldest_records(self, max_records: int) -> None:
        """Drop all but the newest `max_records` once there are twice as many.

        Records of deleted keys count too.
        """
        if len(self.records) > 2 * max_records:
            newest = sorted(self.records.values(), key=lambda item: item.offset)
            self.records = {item.key: item for item in newest[-max_records:]}

    def list_since(self, offset: int) -> list[KeyedRecord]:
        """Return the records from an offset on, including those of deleted keys."""
        return [item for item in self.records.values() if item.offset >= offset]
