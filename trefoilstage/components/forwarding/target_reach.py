"""Judge by own connections whether a host reaches the targets of a service; pure.

A host whose links to all of them are lost sees each target fail, like a target that is
down. Other targets tell the two apart: a host that can connect to none of them has lost
its own links, or all targets are down and no path leads to them.
"""

from dataclasses import dataclass, field
from enum import StrEnum

# One target that refuses connections may be down; two at once rarely are.
MIN_FAILED_TARGETS = 2
# Older failures are no evidence of a common cause.
EVIDENCE_S = 2.0


class Reach(StrEnum):
    """List what is known of this host's links to the targets."""

    CONFIRMED = "confirmed"
    IN_DOUBT = "in_doubt"  # several targets failed, others are being probed
    LOST = "lost"  # no target that was probed accepts connections


@dataclass(kw_only=True, slots=True)
class TargetReach:
    """Collect failures to connect to targets until a connection succeeds."""

    state: Reach = Reach.CONFIRMED
    failed_at: dict[str, float] = field(default_factory=dict)  # by incarnation

    def record_connected(self) -> bool:
        """Record an opened connection; return whether the reach was lost before."""
        was_lost = self.state is Reach.LOST
        self.state = Reach.CONFIRMED
        self.failed_at.clear()
        return was_lost

    def record_failure(self, target: str, now: float, *, timed_out: bool) -> bool:
        """Record a failed connection; return whether the reach has come into doubt.

        A connection that times out costs a caller so much time that one is enough.
        """
        self.failed_at = {
            name: at for name, at in self.failed_at.items() if now - at <= EVIDENCE_S
        }
        self.failed_at[target] = now
        is_enough = timed_out or len(self.failed_at) >= MIN_FAILED_TARGETS
        if self.state is not Reach.CONFIRMED or not is_enough:
            return False
        self.state = Reach.IN_DOUBT
        return True

    def record_lost(self) -> bool:
        """Record that no probed target accepts; return whether that is new."""
        was_in_doubt = self.state is Reach.IN_DOUBT
        if was_in_doubt:
            self.state = Reach.LOST
        return was_in_doubt
