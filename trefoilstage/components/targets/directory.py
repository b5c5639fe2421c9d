"""Keep the registered targets that may get new work; pure."""

from dataclasses import dataclass, field

from trefoilstage.components.forwarding.models import TargetEntry, TargetPhase

# Entries lapse while the store is away, and live targets register again within
# about 2 s of its return. Without this time every target would be taken for gone
# at the end of an outage, and all requests refused until they are back.
LAPSE_GRACE_S = 2.0
# Names are seldom used again; the starts of the last ones are enough.
MAX_KNOWN_STARTS = 10_000


@dataclass(kw_only=True, slots=True)
class ListedTarget:
    """Hold a target's entry and, once it was dropped, until when it is used."""

    entry: TargetEntry
    usable_until: float = float("inf")


@dataclass(kw_only=True, slots=True)
class TargetDirectory:
    """Hold the targets by name."""

    listed: dict[str, ListedTarget] = field(default_factory=dict)
    # Latest start known of each name in ms, also of names that were dropped.
    starts: dict[str, int] = field(default_factory=dict)

    def add(self, entry: TargetEntry) -> bool:
        """Take in a target's entry; tell whether it is news of its latest start.

        A heartbeat of an incarnation that has ended may land after its successor's
        first one. Taken in, it would bring back the old address and phase.
        """
        if entry.started_ms < self.starts.get(entry.name, 0):
            return False
        self.starts.pop(entry.name, None)
        self.starts[entry.name] = entry.started_ms
        while len(self.starts) > MAX_KNOWN_STARTS:
            del self.starts[next(iter(self.starts))]
        self.listed[entry.name] = ListedTarget(entry=entry)
        return True

    def drop(self, name: str, now: float, store_back_at: float) -> None:
        """Take in that an entry was dropped."""
        known = self.listed.get(name)
        if known is None:
            return
        grace_ends = store_back_at + LAPSE_GRACE_S
        lapsed = now <= grace_ends and known.entry.phase is TargetPhase.READY
        if lapsed:
            known.usable_until = grace_ends
        else:
            del self.listed[name]

    def remove(self, entry: TargetEntry) -> None:
        """Forget an incarnation whose address another target has taken."""
        known = self.listed.get(entry.name)
        if known is not None and known.entry.incarnation == entry.incarnation:
            del self.listed[entry.name]

    def disregard(self, name: str) -> None:
        """Use a target no more until a proper entry is seen again.

        An entry that can't be read may say that the target leaves.
        """
        self.listed.pop(name, None)

    def list_incarnations(self) -> set[str]:
        """Return the incarnations that are listed, leaving ones among them."""
        return {item.entry.incarnation for item in self.listed.values()}

    def list_ready(self, service: str, now: float) -> list[TargetEntry]:
        """Return the targets of a service that may get new work, by name."""
        return [
            item.entry
            for _, item in sorted(self.listed.items())
            if item.entry.service == service
            and item.entry.phase is TargetPhase.READY
            and now <= item.usable_until
        ]
