"""Detect that a process did not run between two ticks; no I/O."""

from dataclasses import dataclass

# Heartbeat intervals and latency objectives are of this order: a shorter stall can't be
# distinguished from a busy host.
MIN_STALL_S = 0.25


@dataclass(frozen=True, kw_only=True, slots=True)
class Stall:
    """Describe how late a tick came and the CPU time used since the previous one."""

    late_s: float
    processor_s: float


def was_process_stalled(due: float, now: float) -> bool:
    """Return whether a timer fired so late that its process must have stalled."""
    return now - due >= MIN_STALL_S


class StallDetector:
    """Detect stalls by comparing the time between ticks with their interval.

    If the process used no CPU time during a stall, the cause was outside it: it was
    suspended, or other processes had the CPU. If the CPU time is about as long as the
    stall, one step of the process itself took that long.
    """

    def __init__(self, *, interval_s: float) -> None:
        self._interval_s = interval_s
        self._last_tick_at: float | None = None
        self._last_processor_s = 0.0

    def record_tick(self, now: float, processor_s: float) -> Stall | None:
        """Record a tick and return the stall that preceded it, if any."""
        previous_tick_at, self._last_tick_at = self._last_tick_at, now
        used_s = processor_s - self._last_processor_s
        self._last_processor_s = processor_s
        if previous_tick_at is None:
            return None
        late_s = now - previous_tick_at - self._interval_s
        if late_s < MIN_STALL_S:
            return None
        return Stall(late_s=late_s, processor_s=used_s)
