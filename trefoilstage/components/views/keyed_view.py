"""Hold the newest value of each key of a topic; pure."""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Generic, TypeVar

ValueT = TypeVar("ValueT")


@dataclass(frozen=True, kw_only=True, slots=True)
class KeyedRecord:
    """Hold a key's value at an offset; without a value the key is dropped."""

    key: str
    offset: int
    value: bytes | None


@dataclass(frozen=True, kw_only=True, slots=True)
class Change(Generic[ValueT]):
    """Hold a value that took the place of another."""

    key: str
    value: ValueT | None


class KeyedView:
    """Merge records from any source into the newest of each key.

    A record's offset decides, not the order of arrival. A store that answers from
    an old state and a peer that lags can therefore never bring back an older
    configuration or a target that has left.
    """

    def __init__(self) -> None:
        self.records: dict[str, KeyedRecord] = {}
        self.next_offset = 0

    def merge(self, records: Iterable[KeyedRecord]) -> list[KeyedRecord]:
        """Take in records and return those that changed a key's value."""
        changed: list[KeyedRecord] = []
        for record in records:
            known = self.records.get(record.key)
            if known is not None and known.offset >= record.offset:
                continue
            self.records[record.key] = record
            self.next_offset = max(self.next_offset, record.offset + 1)
            if (known.value if known else None) != record.value:
                changed.append(record)
        return changed

    def merge_listing(
        self, records: list[KeyedRecord], end_offset: int
    ) -> list[KeyedRecord]:
        """Take in a whole listing; keys not in it were dropped before its end."""
        listed = {record.key for record in records}
        dropped = [
            KeyedRecord(key=key, offset=end_offset - 1, value=None)
            for key, known in self.records.items()
            if key not in listed
            and known.value is not None
            and known.offset < end_offset - 1
        ]
        changed = self.merge([*records, *dropped])
        self.next_offset = max(self.next_offset, end_offset)
        return changed

    def trim(self, max_records: int) -> None:
        """Keep the newest records, dropped keys among them."""
        if len(self.records) > 2 * max_records:
            newest = sorted(self.records.values(), key=lambda item: item.offset)
            self.records = {item.key: item for item in newest[-max_records:]}

    def list_since(self, offset: int) -> list[KeyedRecord]:
        """Return the records from an offset on, dropped keys among them."""
        return [item for item in self.records.values() if item.offset >= offset]
