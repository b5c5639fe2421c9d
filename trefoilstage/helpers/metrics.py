"""Collect metrics and send them to a StatsD server."""

from collections import Counter
from collections.abc import Mapping
from typing import Any

import statsd

STATSD_PREFIX = "trefoilstage"
MS_PER_S = 1000


class StatsdMetrics:
    """Collect counters, durations and gauges; do nothing without an address."""

    def __init__(self, *, address: str | None, port: int, host: str) -> None:
        self._client = (
            statsd.StatsClient(
                host=address, port=port, prefix=f"{STATSD_PREFIX}.{host}"
            )
            if address
            else None
        )
        self._counts: Counter[str] = Counter()
        self._durations: list[tuple[str, float]] = []
        self._gauges: dict[str, float] = {}

    def count(self, name: str, amount: int = 1) -> None:
        """Increment a counter."""
        if self._client is not None:
            self._counts[name] += amount

    def time(self, name: str, duration_s: float) -> None:
        """Record a duration in seconds."""
        if self._client is not None:
            self._durations.append((name, duration_s))

    def gauge(self, name: str, value: float) -> None:
        """Set a gauge."""
        if self._client is not None:
            self._gauges[name] = value

    def flush(self) -> None:
        """Send the collected metrics, many in each datagram, and clear them."""
        if self._client is None:
            return
        with self._client.pipeline() as pipeline:
            for name, amount in self._counts.items():
                pipeline.incr(name, amount)
            for name, duration_s in self._durations:
                pipeline.timing(name, duration_s * MS_PER_S)
            for name, value in self._gauges.items():
                pipeline.gauge(name, value)
        self._counts.clear()
        self._durations.clear()
        self._gauges.clear()


class EventMeter:
    """Count events by name and reason, so components need no counters of their own."""

    def __init__(self, *, metrics: StatsdMetrics) -> None:
        self._metrics = metrics

    def __call__(self, message: Mapping[str, Any]) -> None:
        """Count one event and record its duration, if it has one."""
        name = f"events.{message.get('message_type', 'unknown')}"
        self._metrics.count(name)
        if message.get("reason"):
            self._metrics.count(f"{name}.{message['reason']}")
        if "duration_s" in message:
            self._metrics.time(f"{name}.duration", message["duration_s"])
