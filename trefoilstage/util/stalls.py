"""Notice that a process stood still between two ticks; pure."""

from dataclasses import dataclass

# Heartbeats and objectives are of this order: a host that stood still for less is
# not told from one that is busy.
STALLED_S = 0.25


@dataclass(frozen=True, kw_only=True, slots=True)
class Stall:
    """Hold how late a tick came, and the processor time used meanwhile, in seconds."""

    late_s: float
    processor_s: float


def stood_still(due: float, now: float) -> bool:
    """Tell whether a timer came so late that its process can't have run meanwhile."""
    return now - due >= STALLED_S


class StallWatch:
    """Compare ticks with their interval.

    A stall without processor time was forced on the process from outside: it was
    suspended, or other processes had the processor. One with as much processor time
    was a long step of its own.
    """

    def __init__(self, *, interval_s: float) -> None:
        self._interval_s = interval_s
        self._now: float | None = None
        self._processor_s = 0.0

    def note_tick(self, now: float, processor_s: float) -> Stall | None:
        """Take a tick; return the stall before it, if there was one."""
        before, self._now = self._now, now
        used_s = processor_s - self._processor_s
        self._processor_s = processor_s
        if before is None:
            return None
        late_s = now - before - self._interval_s
        if late_s < STALLED_S:
            return None
        return Stall(late_s=late_s, processor_s=used_s)
