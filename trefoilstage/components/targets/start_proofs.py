"""Tell whether a connection leads to the start of a target that its entry names; pure.

A target may start again under its name and address, with another version of its
software. Until a host reads the new entry, it goes by the old one. Starts of a target
don't overlap, so a sign of life of one start proves all connections that were opened
before the sign and after the start became known.
"""

from dataclasses import dataclass, field

from trefoilstage.components.forwarding.models import TargetEntry


@dataclass(kw_only=True, slots=True)
class StartProofs:
    """Store when each start of a target was last known to run."""

    # When the read of all entries began that ended last.
    read_at: float = float("-inf")
    # When an incarnation surely ran, by incarnation.
    proven_at: dict[str, float] = field(default_factory=dict)
    # Incarnations that failed since their last sign of life. An entry that has not
    # changed proves nothing of them: it is removed only seconds after a crash.
    doubted: set[str] = field(default_factory=set)
    sequences: dict[str, int] = field(default_factory=dict)

    def record_read(self, began_at: float) -> None:
        """Record that all entries were read, by a read that began at a given time."""
        self.read_at = max(self.read_at, began_at)

    def record_entry(self, entry: TargetEntry, written_after: float) -> None:
        """Record a target's entry, written after a given time."""
        incarnation = entry.incarnation
        known = self.sequences.get(incarnation)
        self.sequences[incarnation] = max(entry.sequence, known or 0)
        # An entry that was not written anew is no sign of life.
        if known is None or entry.sequence > known:
            self._prove(incarnation, written_after)

    def record_data(self, target: TargetEntry, connected_at: float, now: float) -> None:
        """Record that a target sent data over a connection."""
        if connected_at <= self.proven_at.get(target.incarnation, float("-inf")):
            self._prove(target.incarnation, now)

    def record_start(self, target: TargetEntry, asked_at: float) -> None:
        """Record that a target that was asked at a given time named this start."""
        self._prove(target.incarnation, asked_at)

    def record_failure(self, target: TargetEntry, *, is_listed: bool) -> None:
        """Record a failure that a restart of the target may have caused."""
        incarnation = target.incarnation
        if is_listed and incarnation not in self.doubted:
            self._prove(incarnation, self.read_at)
        self.doubted.add(incarnation)

    def is_proven(
        self, target: TargetEntry, connected_at: float, *, is_listed: bool
    ) -> bool:
        """Return whether a connection leads to the start that an entry names.

        A read proves only the starts that the store still lists.
        """
        if not target.has_reusable_name:
            return True
        proven_at = self.proven_at.get(target.incarnation, float("-inf"))
        if is_listed and target.incarnation not in self.doubted:
            proven_at = max(proven_at, self.read_at)
        return connected_at <= proven_at

    def keep_only(self, incarnations: set[str]) -> None:
        """Forget incarnations that are not listed any more."""
        self.doubted &= incarnations
        for known in (self.proven_at, self.sequences):
            for incarnation in known.keys() - incarnations:
                del known[incarnation]

    def _prove(self, incarnation: str, proven_at: float) -> None:
        known = self.proven_at.get(incarnation, float("-inf"))
        if proven_at > known:
            self.proven_at[incarnation] = proven_at
            self.doubted.discard(incarnation)
