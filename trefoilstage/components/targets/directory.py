"""Keep the registered targets that may get new work; pure."""

from dataclasses import dataclass, field

from trefoilstage.components.forwarding.models import TargetEntry, TargetPhase

# Entries lapse while the store is away, and live targets register again within
# about 2 s of its return. Without this time every target would be taken for gone
# at the end of an outage, and all requests refused until they are back.
LAPSE_GRACE_S = 2.0
# Names are seldom used again; the starts of the last ones are enough.
MAX_KNOWN_STARTS = 10_000
# Late news lands within seconds, in which a target starts again a few times at most.
MAX_FORMER_STARTS = 4


@dataclass(kw_only=True, slots=True)
class ListedTarget:
    """Hold a target's entry and, once it was dropped, until when it is used."""

    entry: TargetEntry
    usable_until: float = float("inf")


@dataclass(kw_only=True, slots=True)
class StartHistory:
    """Hold what is known of the starts of one name, in ms by the target's clock."""

    latest: int
    # Starts that a later one has replaced, newest last.
    former: tuple[int, ...] = ()
    # The entry of an earlier start that was never seen before, or the one that gave
    # way to it; forgotten once the latest start is heard of again.
    other: TargetEntry | None = None

    def set_latest(self, started_ms: int) -> None:
        """Take in the present start."""
        if started_ms > self.latest:
            self.former = (*self.former, self.latest)[-MAX_FORMER_STARTS:]
        self.latest = started_ms
        self.other = None


@dataclass(kw_only=True, slots=True)
class TargetDirectory:
    """Hold the targets by name."""

    listed: dict[str, ListedTarget] = field(default_factory=dict)
    # Also of names that were dropped.
    starts: dict[str, StartHistory] = field(default_factory=dict)

    def add(self, entry: TargetEntry) -> bool:
        """Take in a target's entry; tell whether it is news of its latest start.

        A heartbeat of an incarnation that has ended may land after its successor's
        first one. Taken in, it would bring back the old address and phase.
        """
        history = self._get_history(entry)
        if entry.started_ms in history.former:
            return False
        if entry.started_ms < history.latest:
            # Late news, or a target whose clock was set back before it started again.
            # It registers once, so that it would stay unlisted for good; the entry is
            # kept in case the latest start can't be reached.
            history.other = entry
            return False
        history.set_latest(entry.started_ms)
        self.listed[entry.name] = ListedTarget(entry=entry)
        return True

    def _get_history(self, entry: TargetEntry) -> StartHistory:
        history = self.starts.pop(entry.name, None)
        if history is None:
            history = StartHistory(latest=entry.started_ms)
        self.starts[entry.name] = history
        while len(self.starts) > MAX_KNOWN_STARTS:
            del self.starts[next(iter(self.starts))]
        return history

    def give_way(self, entry: TargetEntry) -> bool:
        """Use the other start of a target that can't be reached, if one was seen.

        Tell whether there is one. The two change places, so that after late news
        of an incarnation that has ended the live one is used again.
        """
        known = self.listed.get(entry.name)
        if known is None or known.entry.incarnation != entry.incarnation:
            return False
        return self._use_other(entry.name, instead_of=known.entry)

    def _use_other(self, name: str, *, instead_of: TargetEntry | None) -> bool:
        history = self.starts.get(name)
        other = history.other if history else None
        if history is None or other is None or other.phase is not TargetPhase.READY:
            return False
        history.latest = other.started_ms
        history.other = instead_of
        self.listed[name] = ListedTarget(entry=other)
        return True

    def _forget_other(self, name: str) -> None:
        history = self.starts.get(name)
        if history is not None:
            history.other = None

    def drop(self, name: str, now: float, store_back_at: float) -> None:
        """Take in that an entry was dropped."""
        self._forget_other(name)
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
            self._use_other(entry.name, instead_of=None)

    def disregard(self, name: str) -> None:
        """Use a target no more until a proper entry is seen again.

        An entry that can't be read may say that the target leaves.
        """
        self.listed.pop(name, None)
        self._forget_other(name)

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
