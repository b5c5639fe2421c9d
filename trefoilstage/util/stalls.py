"""Detect that a process did not run between two ticks; no I/O."""

import asyncio
from dataclasses import dataclass
from typing import Self

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


class StallWatch:
    """Tell whether the process stalled before a timeout fired.

    A loop that resumes runs the timers that are due before the tasks that events of the
    stall have woken. A timeout then fires though what it waited for has come, and if
    the stall was about as long as the timeout, it fires hardly late. An earlier tick
    shows such a stall.
    """

    def __init__(self, *, timeout_s: float) -> None:
        self._loop = asyncio.get_running_loop()
        self._due = self._loop.time() + max(0.0, timeout_s - MIN_STALL_S)
        self._ticked_at: float | None = None
        self._tick = self._loop.call_at(self._due, self._record_tick)

    def __enter__(self) -> Self:
        """Return the watch, which stops when its block is left."""
        return self

    def __exit__(self, *error: object) -> None:
        """Stop watching."""
        self.stop()

    def stop(self) -> None:
        """Stop watching, as what the timeout limits has ended."""
        self._tick.cancel()

    def has_seen_stall(self) -> bool:
        """Return whether the tick came so late that the process must have stalled."""
        ticked_at = self._loop.time() if self._ticked_at is None else self._ticked_at
        return was_process_stalled(self._due, ticked_at)

    def _record_tick(self) -> None:
        self._ticked_at = self._loop.time()


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
