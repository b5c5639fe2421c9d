"""Keep lists of the hosts that get grants in the store, each under its digest.

With 66 hosts such a list is 4 KB. Written into each account's record, and read with all
records of a partition at each conflict, it made draws take up to a second.
"""

from collections.abc import Mapping
from dataclasses import dataclass

import xxhash

from trefoilstage.components.views.store import Store, Topic
from trefoilstage.const import MAX_RECORD_BYTES
from trefoilstage.exceptions import MalformedMessageError
from trefoilstage.helpers.codec import Codec
from trefoilstage.helpers.events import Event, log_event
from trefoilstage.helpers.fields import Name


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

    def __init__(self, *, store: Store) -> None:
        self._store = store
        self._written: set[str] = set()
        self._known: dict[str, Mapping[str, str]] = {"": NO_MEMBERS}

    def get(self, name: str) -> Mapping[str, str] | None:
        """Return a list, None if it was not read yet."""
        return self._known.get(name)

    async def write(self, members: Mapping[str, str]) -> str:
        """Return the name of a list that the store holds."""
        name = name_roster(members)
        if name and name not in self._written:
            # Any host writes the same under this name, so it may land twice.
            value = ROSTER_CODEC.encode(Roster(members=dict(members)))
            await self._store.put(Topic.ROSTERS, name, value)
            self._written.add(name)
            self._known[name] = dict(members)
        return name

    async def read_missing(self, names: set[str]) -> None:
        """Read the lists that other hosts have written, if one is not known."""
        if names <= self._known.keys():
            return
        listing = await self._store.list_newest(Topic.ROSTERS)
        for record in listing.records:
            if record.value is None or record.key in self._known:
                continue
            try:
                roster = ROSTER_CODEC.decode(record.value)
            except MalformedMessageError as error:
                # A home of whom it tells can't be recovered then.
                log_event(Event.RECORD_MALFORMED, topic=Topic.ROSTERS, error=str(error))
                continue
            self._known[record.key] = roster.members
