"""Tell whether a connection leads to the start of a target that its entry names; pure.

A target may start again under its name and address, with another version of its
software, and be registered only later. Until then the store has the former entry, so
reading it proves nothing. Nor does an entry that was written anew: the store may carry
out a heartbeat seconds after its target ended. Starts of a target don't overlap, so a
sign of life of one start proves all connections that were opened before the sign and
after the start became known. Data may be read long after its target ended, as callers
read slowly: an answer shows only that its target ran after the request was sent.
"""

from dataclasses import dataclass, field

from trefoilstage.components.forwarding.models import TargetEntry


@dataclass(kw_only=True, slots=True)
class StartProofs:
    """Store when each start of a target was last known to run."""

    # When an incarnation surely ran, by incarnation.
    proven_at: dict[str, float] = field(default_factory=dict)
    ended: set[str] = field(default_factory=set)  # another start has answered since

    def record_answer(
        self, target: TargetEntry, connected_at: float, sent_at: float
    ) -> None:
        """Record that a request sent at a given time was answered on a connection."""
        if connected_at <= self.proven_at.get(target.incarnation, float("-inf")):
            self._prove(target.incarnation, sent_at)

    def record_start(self, target: TargetEntry, asked_at: float) -> None:
        """Record that a target that was asked at a given time named this start."""
        self._prove(target.incarnation, asked_at)

    def record_other_start(self, target: TargetEntry) -> None:
        """Record that a target that was asked named another start than its entry."""
        self.ended.add(target.incarnation)

    def is_proven(self, target: TargetEntry, connected_at: float) -> bool:
        """Return whether a connection leads to the start that an entry names."""
        if not target.has_reusable_name:
            return True
        return connected_at <= self.proven_at.get(target.incarnation, float("-inf"))

    def keep_only(self, incarnations: set[str]) -> None:
        """Forget incarnations that are not listed any more."""
        for incarnation in self.proven_at.keys() - incarnations:
            del self.proven_at[incarnation]
        self.ended &= incarnations

    def _prove(self, incarnation: str, proven_at: float) -> None:
        if incarnation in self.ended:
            return
        known = self.proven_at.get(incarnation, float("-inf"))
        self.proven_at[incarnation] = max(proven_at, known)
