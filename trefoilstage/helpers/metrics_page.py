"""Collect event counts and request durations in the Prometheus text format."""

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
# Covers latency objectives of 0.1 to 1 s and request deadlines of 0.6 to 15 s.
BUCKETS_S = (0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4, 12.8)
# Maps an event's duration fields to the request phases that they measure.
PHASE_BY_FIELD = {
    "hold_s": "hold",
    "first_s": "first_event",
    "gap_s": "longest_gap",
    "duration_s": "whole",
    "queue_s": "admission_queue",
}


class MetricsPage:
    """Collect the counters, histograms and gauges of one process.

    Labels are event names and reasons, which are enumerations of this program, so
    callers cannot increase the number of time series.
    """

    def __init__(self) -> None:
        self._registry = CollectorRegistry()
        self._events = Counter(
            "trefoilstage_events",
            "Events by name and reason.",
            ["event", "reason"],
            registry=self._registry,
        )
        self._request_seconds = Histogram(
            "trefoilstage_request_seconds",
            "Seconds of a request by phase.",
            ["phase"],
            buckets=BUCKETS_S,
            registry=self._registry,
        )

        self._fetches = Counter(
            "trefoilstage_prefix_fetches",
            "Requests sent with a fetch of KV cache from another target.",
            registry=self._registry,
        )
        self._fetched_tokens = Counter(
            "trefoilstage_prefix_fetched_tokens",
            "Prompt tokens that targets were told to fetch.",
            registry=self._registry,
        )

    def __call__(self, message: Mapping[str, Any]) -> None:
        """Count one event and observe its durations."""
        event = str(message.get("message_type", "unknown"))
        self._events.labels(event, str(message.get("reason", ""))).inc()
        if "fetched" in message:
            self._fetches.inc()
            self._fetched_tokens.inc(int(message["fetched"]))
        for name, phase in PHASE_BY_FIELD.items():
            if name in message:
                self._request_seconds.labels(phase).observe(float(message[name]))

    def add_gauge(
        self, name: str, description: str, get_value: Callable[[], float]
    ) -> None:
        """Add a gauge whose value is read each time the page is rendered."""
        gauge = Gauge(f"trefoilstage_{name}", description, registry=self._registry)
        gauge.set_function(get_value)

    def render(self) -> bytes:
        """Return the metrics in the Prometheus text format."""
        return generate_latest(self._registry)
