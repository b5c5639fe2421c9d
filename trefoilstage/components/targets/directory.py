"""Keep the registered targets that may get new work; pure."""

from dataclasses import dataclass, field

from trefoilstage.components.forwarding.models import TargetEntry, TargetPhase

# Entries lapse while the store is away, and live targets register again within
# about 2 s of its return. Without this time every target would be taken for gone
# at the end of an outage, and all requests refused until they are back.
LAPSE_GRACE_S = 2.0


@dataclass(kw_only=True, slots=True)
class ListedTarget:
    """Hold a target's entry and, once it was dropped, until when it is used."""

    entry: TargetEntry
    usable_until: float = float("inf")


@dataclass(kw_only=True, slots=True)
class TargetDirectory:
    """Hold the targets by name."""

    listed: dict[str, ListedTarget] = field(default_factory=dict)

    def add(self, entry: TargetEntry) -> None:
        """Take in a target's entry."""
        self.listed[entry.name] = ListedTarget(entry=entry)

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

    def remove(self, name: str) -> None:
        """Forget a target whose address another one has taken."""
        self.listed.pop(name, None)

    def list_ready(self, service: str, now: float) -> list[TargetEntry]:
        """Return the targets of a service that may get new work, by name."""
        return [
            item.entry
            for _, item in sorted(self.listed.items())
            if item.entry.service == service
            and item.entry.phase is TargetPhase.READY
            and now <= item.usable_until
        ]
