"""Store rosters, the lists of incarnations that may get grants, by their digest.

A roster grows with the fleet. If account records contained their rosters, each conflict
of two writers would read those of a whole partition again, and draws would be slow. If
all rosters were in one partition, a host that recovers an account would read all
rosters ever written.
"""

from collections import OrderedDict
from collections.abc import Collection, Mapping
from dataclasses import dataclass

import xxhash

from trefoilstage.components.views.store import Store, Topic
from trefoilstage.const import MAX_RECORD_BYTES
from trefoilstage.exceptions import MalformedMessageError
from trefoilstage.helpers.codec import Codec
from trefoilstage.helpers.events import Event, log_event
from trefoilstage.helpers.field_types import ShortText
from trefoilstage.util.hashing import hash_to_bucket

# Rosters kept in memory; others are read or written again.
MAX_CACHED_ROSTERS = 64
# Earlier versions wrote all rosters to this partition.
LEGACY_PARTITION = 0
# Stands in a record for a roster that nobody can name. No roster has this name, so that
# hosts of any build find none.
UNKNOWN_ROSTER = "unknown"


@dataclass(frozen=True, kw_only=True, slots=True)
class Roster:
    """List the incarnations that may get grants, by host."""

    members: dict[ShortText, ShortText]


ROSTER_CODEC: Codec[Roster] = Codec(message_type=Roster, max_bytes=MAX_RECORD_BYTES)
NO_MEMBERS: Mapping[str, str] = {}


def get_roster_name(members: Mapping[str, str]) -> str:
    """Return the digest of a roster's members, empty if there are none."""
    if not members:
        return ""
    text = "|".join(f"{host}={name}" for host, name in sorted(members.items()))
    return xxhash.xxh3_128_hexdigest(text.encode())


class RosterStore:
    """Write each roster before a record names it, and read rosters of any host."""

    def __init__(self, *, store: Store, n_partitions: int) -> None:
        self._store = store
        self._n_partitions = n_partitions
        self._written: OrderedDict[str, None] = OrderedDict()
        self._cached: OrderedDict[str, Mapping[str, str]] = OrderedDict()

    def get(self, name: str) -> Mapping[str, str] | None:
        """Return a cached roster, None if it is not cached."""
        return self._cached.get(name) if name else NO_MEMBERS

    def forget_written(self) -> None:
        """Write each roster again before a record names it."""
        self._written.clear()

    async def write(self, members: Mapping[str, str]) -> str:
        """Store a roster if needed and return its name."""
        name = get_roster_name(members)
        if name and name not in self._written:
            # All hosts write the same value under this name, so it may be stored twice.
            value = ROSTER_CODEC.encode(Roster(members=dict(members)))
            partition = hash_to_bucket(name, self._n_partitions)
            await self._store.put(Topic.ROSTERS, name, value, partition=partition)
            self._written[name] = None
            self._cache(name, dict(members))
            if len(self._written) > MAX_CACHED_ROSTERS:
                self._written.popitem(last=False)
        return name

    async def write_cached(self, names: Collection[str]) -> None:
        """Store cached rosters of any host again, as a restored store may lack them."""
        for name in names:
            members = self._cached.get(name)
            if members is not None:
                await self.write(members)

    async def read(self, name: str) -> Mapping[str, str] | None:
        """Return a roster that any host wrote, None if it is missing."""
        for partition in (hash_to_bucket(name, self._n_partitions), LEGACY_PARTITION):
            if self.get(name) is None:
                await self._read_partition(partition, name)
        return self.get(name)

    async def _read_partition(self, partition: int, name: str) -> None:
        batch = await self._store.list_newest(Topic.ROSTERS, partition)
        for record in batch.records:
            if record.key != name or record.value is None:
                continue
            try:
                self._cache(name, ROSTER_CODEC.decode(record.value).members)
            except MalformedMessageError as error:
                # All that homes drew whose records name this roster counts as used.
                log_event(Event.RECORD_MALFORMED, topic=Topic.ROSTERS, error=str(error))

    def _cache(self, name: str, members: Mapping[str, str]) -> None:
        self._cached[name] = members
        if len(self._cached) > MAX_CACHED_ROSTERS:
            self._cached.popitem(last=False)
