"""Count events and time requests for a page of metrics as text."""

from collections.abc import Callable, Mapping
from typing import Any

from prometheus_client import (
    CollectorRegistry,
    Counter,
    Gauge,
    Histogram,
    generate_latest,
)

CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"
# Objectives are 0.1 to 1 s and deadlines 0.6 to 15 s.
BUCKETS_S = (0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4, 12.8)
# Fields of an event that are durations, and the phase of a request that each tells.
PHASES = {
    "hold_s": "hold",
    "first_s": "first_event",
    "gap_s": "longest_gap",
    "duration_s": "whole",
}


class MetricsPage:
    """Hold the counters, histograms and gauges of one process.

    Events and reasons are enumerations of the program, so that the number of labels
    is bounded whatever callers send.
    """

    def __init__(self) -> None:
        self._registry = CollectorRegistry()
        self._events = Counter(
            "trefoilstage_events",
            "Events by name and reason.",
            ["event", "reason"],
            registry=self._registry,
        )
        self._seconds = Histogram(
            "trefoilstage_request_seconds",
            "Seconds of a request by phase.",
            ["phase"],
            buckets=BUCKETS_S,
            registry=self._registry,
        )

    def __call__(self, message: Mapping[str, Any]) -> None:
        """Count one event and the durations that it tells."""
        event = str(message.get("message_type", "unknown"))
        self._events.labels(event, str(message.get("reason", ""))).inc()
        for name, phase in PHASES.items():
            if name in message:
                self._seconds.labels(phase).observe(float(message[name]))

    def add_gauge(self, name: str, text: str, get_value: Callable[[], float]) -> None:
        """Show a value that is read whenever the page is."""
        gauge = Gauge(f"trefoilstage_{name}", text, registry=self._registry)
        gauge.set_function(get_value)

    def render(self) -> bytes:
        """Return the page."""
        return generate_latest(self._registry)
