"""Send metrics by statsd."""

import statsd

PREFIX = "trefoilstage"
MS_PER_S = 1000


class Metrics:
    """Count and time under the product's prefix; silent without an address."""

    def __init__(self, *, address: str | None, port: int) -> None:
        self._client = (
            statsd.StatsClient(host=address, port=port, prefix=PREFIX)
            if address
            else None
        )

    def count(self, name: str, amount: int = 1) -> None:
        """Add to a counter."""
        if self._client is not None:
            self._client.incr(name, amount)

    def time(self, name: str, duration_s: float) -> None:
        """Record a duration."""
        if self._client is not None:
            self._client.timing(name, duration_s * MS_PER_S)

    def gauge(self, name: str, value: float) -> None:
        """Set a gauge."""
        if self._client is not None:
            self._client.gauge(name, value)
