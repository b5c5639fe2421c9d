"""List the registered targets that may receive new requests; pure.

An incarnation is one run of a target. A restart changes it, but not the target's name.
"""

from dataclasses import dataclass, field

from trefoilstage.components.forwarding.models import TargetEntry, TargetPhase
from trefoilstage.components.targets.start_proofs import StartProofs

# Entries expire while the store is unreachable, and live targets register again within
# about 2 s after it returns. Without this grace period, all targets would be unlisted
# after an outage, and all requests refused until the targets register again.
EXPIRY_GRACE_S = 2.0
# Names are rarely reused, so the starts of the most recent names are enough.
MAX_TRACKED_NAMES = 10_000
# Delayed entries arrive within seconds, in which a target restarts only a few times.
MAX_FORMER_STARTS = 4


@dataclass(kw_only=True, slots=True)
class ListedTarget:
    """Describe a listed target; `usable_until` is set once its entry was removed."""

    entry: TargetEntry
    usable_until: float = float("inf")


@dataclass(kw_only=True, slots=True)
class StartHistory:
    """Describe the known starts under one name, in ms by the target's clock."""

    latest: int
    sequence: int = 0  # of the newest entry of that start
    # Starts that were replaced by a later one, newest last.
    former: tuple[int, ...] = ()
    # The entry of an earlier start that this host had not seen before, or the entry
    # that it replaced; cleared once an entry of the latest start is received again.
    other: TargetEntry | None = None

    def set_latest(self, started_ms: int, sequence: int) -> None:
        """Set the start that is now in use, and the sequence of its entry."""
        if started_ms > self.latest:
            self.former = (*self.former, self.latest)[-MAX_FORMER_STARTS:]
        self.latest = started_ms
        self.sequence = sequence
        self.other = None


@dataclass(kw_only=True, slots=True)
class TargetDirectory:
    """List the registered targets by name."""

    listed: dict[str, ListedTarget] = field(default_factory=dict)
    # Includes names whose entries were removed.
    starts: dict[str, StartHistory] = field(default_factory=dict)
    # Data centres whose targets receive no new requests, by order of the operators.
    evacuated: set[str] = field(default_factory=set)
    # When targets become warm, by incarnation: as their entries say, and as presumed
    # until an entry may have said so.
    cold_until: dict[str, float] = field(default_factory=dict)
    presumed_cold_until: dict[str, float] = field(default_factory=dict)
    # Incarnations that said in an answer that they leave, the latest last. Their
    # entries may say so later.
    said_leaving: dict[str, None] = field(default_factory=dict)
    proofs: StartProofs = field(default_factory=StartProofs)

    def apply_entry(self, entry: TargetEntry) -> bool:
        """Apply a target's entry; return whether it belongs to the latest start.

        A heartbeat of an ended incarnation may arrive after the first one of its
        successor. Applied, it would restore the previous address and phase.
        """
        history = self._get_or_create_history(entry)
        if entry.started_ms in history.former:
            return False
        if entry.started_ms < history.latest:
            # A delayed entry, or a target whose clock was set back before it restarted.
            # A target registers once per start and would stay unlisted permanently, so
            # the entry is kept in case the latest start can't be reached.
            history.other = entry
            return False
        history.set_latest(entry.started_ms, entry.sequence)
        self.listed[entry.name] = ListedTarget(entry=entry)
        return True

    def is_older(self, entry: TargetEntry) -> bool:
        """Return whether an entry is older than what is known of its start.

        A store that came back from a copy has the entries of targets that have left or
        begun to leave since.
        """
        history = self.starts.get(entry.name)
        if history is None or entry.started_ms != history.latest:
            return False
        is_removed = entry.name not in self.listed
        return entry.sequence < history.sequence + is_removed

    def record_cold_time(self, entry: TargetEntry, now: float) -> None:
        """Record how long a target is cold by its entry, which was just received."""
        if entry.cold_s > 0.0:
            self.cold_until[entry.incarnation] = now + entry.cold_s
            self._drop_past_times(now)
        else:
            self.cold_until.pop(entry.incarnation, None)

    def presume_cold(self, incarnation: str, until: float, now: float) -> None:
        """Count a target as cold until a given time, whatever its entry says."""
        self.presumed_cold_until[incarnation] = until
        self._drop_past_times(now)

    def record_leaving(self, incarnation: str) -> bool:
        """Use an incarnation no more; return whether it was not known to leave."""
        if incarnation in self.said_leaving:
            return False
        self.said_leaving[incarnation] = None
        while len(self.said_leaving) > MAX_TRACKED_NAMES:
            del self.said_leaving[next(iter(self.said_leaving))]
        return True

    def _drop_past_times(self, now: float) -> None:
        """Drop past times once there are more times than targets."""
        if len(self.cold_until) > len(self.listed):
            self.cold_until = drop_past(self.cold_until, now)
        if len(self.presumed_cold_until) > len(self.listed):
            self.presumed_cold_until = drop_past(self.presumed_cold_until, now)

    def may_have_cold(self) -> bool:
        """Return whether any target may be cold."""
        return bool(self.cold_until or self.presumed_cold_until)

    def is_cold(self, entry: TargetEntry, now: float) -> bool:
        """Return whether a target is or may be cold."""
        incarnation = entry.incarnation
        return now < max(
            self.cold_until.get(incarnation, now),
            self.presumed_cold_until.get(incarnation, now),
        )

    def _get_or_create_history(self, entry: TargetEntry) -> StartHistory:
        history = self.starts.pop(entry.name, None)
        if history is None:
            history = StartHistory(latest=entry.started_ms)
        self.starts[entry.name] = history
        while len(self.starts) > MAX_TRACKED_NAMES:
            del self.starts[next(iter(self.starts))]
        return history

    def switch_to_other_start(self, entry: TargetEntry) -> bool:
        """Use the other known start of a target that can't be reached.

        Return whether there is one. The two entries change places, so that the live
        incarnation is used again if the other entry was a delayed one.
        """
        listed = self.listed.get(entry.name)
        if listed is None or listed.entry.incarnation != entry.incarnation:
            return False
        return self._switch_to_other(entry.name, instead_of=listed.entry)

    def _switch_to_other(self, name: str, *, instead_of: TargetEntry | None) -> bool:
        history = self.starts.get(name)
        other = history.other if history else None
        if history is None or other is None or other.phase is not TargetPhase.READY:
            return False
        history.latest = other.started_ms
        history.sequence = other.sequence
        history.other = instead_of
        self.listed[name] = ListedTarget(entry=other)
        return True

    def _forget_other(self, name: str) -> None:
        history = self.starts.get(name)
        if history is not None:
            history.other = None

    def apply_removal(self, name: str, now: float, store_back_at: float) -> None:
        """Handle the removal of a target's entry from the store.

        `store_back_at` is when the store last became reachable, or `now` if it is not.
        """
        self._forget_other(name)
        listed = self.listed.get(name)
        if listed is None:
            return
        grace_ends_at = store_back_at + EXPIRY_GRACE_S
        may_have_expired = (
            now <= grace_ends_at and listed.entry.phase is TargetPhase.READY
        )
        if may_have_expired:
            listed.usable_until = grace_ends_at
        else:
            del self.listed[name]

    def remove_incarnation(self, entry: TargetEntry) -> None:
        """Remove an incarnation whose address now belongs to another target."""
        listed = self.listed.get(entry.name)
        if listed is not None and listed.entry.incarnation == entry.incarnation:
            del self.listed[entry.name]
            self._switch_to_other(entry.name, instead_of=None)

    def unlist(self, name: str) -> None:
        """Stop using a target until a valid entry is received.

        A malformed entry may have announced that the target is leaving.
        """
        self.listed.pop(name, None)
        self._forget_other(name)

    def list_incarnations(self) -> set[str]:
        """Return the incarnations of all listed targets, including draining ones."""
        return {item.entry.incarnation for item in self.listed.values()}

    def find_incarnation(self, incarnation: str) -> TargetEntry | None:
        """Return the entry of a listed incarnation, None if it is not listed."""
        name, _, _ = incarnation.rpartition("@")
        item = self.listed.get(name)
        if item is None or item.entry.incarnation != incarnation:
            return None
        return item.entry

    def is_start_proven(self, entry: TargetEntry, connected_at: float) -> bool:
        """Return whether a connection leads to the start that an entry names."""
        return self.proofs.is_proven(entry, connected_at)

    def list_ready(self, service: str, now: float) -> list[TargetEntry]:
        """Return a service's targets that may receive new requests, sorted by name."""
        leaving = self.said_leaving
        return [
            item.entry
            for _, item in sorted(self.listed.items())
            if item.entry.service == service
            and item.entry.phase is TargetPhase.READY
            and item.entry.data_center not in self.evacuated
            and (not leaving or item.entry.incarnation not in leaving)
            and now <= item.usable_until
        ]


def drop_past(times: dict[str, float], now: float) -> dict[str, float]:
    """Return the items whose time is still to come."""
    return {name: time for name, time in times.items() if time > now}
