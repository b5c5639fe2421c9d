"""Keep lists of the hosts that get grants in the store, each under its digest.

Such a list grows with the fleet. Written into each account's record, and read with all
records of a partition at each conflict, it makes draws slow. With all lists in one
partition, a host that recovers an account would read those that all homes ever wrote.
"""

from collections import OrderedDict
from collections.abc import Mapping
from dataclasses import dataclass

import xxhash

from trefoilstage.components.views.store import Store, Topic
from trefoilstage.const import MAX_RECORD_BYTES
from trefoilstage.exceptions import MalformedMessageError
from trefoilstage.helpers.codec import Codec
from trefoilstage.helpers.events import Event, log_event
from trefoilstage.helpers.fields import Name
from trefoilstage.util.hashing import pick_stream

# Lists kept in memory; others are read or written again.
MAX_KNOWN = 64
# Where earlier versions wrote all lists.
FORMER_PARTITION = 0


@dataclass(frozen=True, kw_only=True, slots=True)
class Roster:
    """Hold incarnations that may get grants, by host."""

    members: dict[Name, Name]


ROSTER_CODEC: Codec[Roster] = Codec(family=Roster, max_bytes=MAX_RECORD_BYTES)
NO_MEMBERS: Mapping[str, str] = {}


def name_roster(members: Mapping[str, str]) -> str:
    """Return the digest of a list, empty for an empty one."""
    if not members:
        return ""
    text = "|".join(f"{host}={name}" for host, name in sorted(members.items()))
    return xxhash.xxh3_128_hexdigest(text.encode())


class RosterStore:
    """Write each list once, before a record names it, and read those of others."""

    def __init__(self, *, store: Store, n_partitions: int) -> None:
        self._store = store
        self._n_partitions = n_partitions
        self._written: OrderedDict[str, None] = OrderedDict()
        self._known: OrderedDict[str, Mapping[str, str]] = OrderedDict()

    def get(self, name: str) -> Mapping[str, str] | None:
        """Return a list, None if it was not read yet."""
        return self._known.get(name) if name else NO_MEMBERS

    async def write(self, members: Mapping[str, str]) -> str:
        """Return the name of a list that the store holds."""
        name = name_roster(members)
        if name and name not in self._written:
            # Any host writes the same under this name, so it may land twice.
            value = ROSTER_CODEC.encode(Roster(members=dict(members)))
            partition = pick_stream(name, self._n_partitions)
            await self._store.put(Topic.ROSTERS, name, value, partition=partition)
            self._written[name] = None
            self._keep(name, dict(members))
            if len(self._written) > MAX_KNOWN:
                self._written.popitem(last=False)
        return name

    async def read(self, name: str) -> Mapping[str, str] | None:
        """Return a list that any host wrote, None if it can't be found."""
        for partition in (pick_stream(name, self._n_partitions), FORMER_PARTITION):
            if self.get(name) is None:
                await self._read_partition(partition, name)
        return self.get(name)

    async def _read_partition(self, partition: int, name: str) -> None:
        listing = await self._store.list_newest(Topic.ROSTERS, partition)
        for record in listing.records:
            if record.key != name or record.value is None:
                continue
            try:
                self._keep(name, ROSTER_CODEC.decode(record.value).members)
            except MalformedMessageError as error:
                # A home of whom it tells can't be recovered then.
                log_event(Event.RECORD_MALFORMED, topic=Topic.ROSTERS, error=str(error))

    def _keep(self, name: str, members: Mapping[str, str]) -> None:
        self._known[name] = members
        if len(self._known) > MAX_KNOWN:
            self._known.popitem(last=False)
