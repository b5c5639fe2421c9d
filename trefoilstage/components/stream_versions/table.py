"""Store which version began each of the latest streams; pure."""

from collections import Counter, OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass, field

from trefoilstage.components.forwarding.target_filter import StreamVersion

# Callers take a stream up within their own time limit, 15 s on the platform.
RETENTION_S = 60.0
MAX_STREAMS = 20_000


@dataclass(frozen=True, kw_only=True, slots=True)
class KnownStream:
    """Describe a stream's version, None if different ones were reported."""

    version: StreamVersion | None
    recorded_at: float


@dataclass(kw_only=True, slots=True)
class StreamTable:
    """Map the keys of streams to versions, for a limited time and number."""

    streams: OrderedDict[str, KnownStream] = field(default_factory=OrderedDict)

    def add(self, keys: Iterable[str], version: StreamVersion, now: float) -> None:
        """Record that a version began some streams."""
        for key in keys:
            known = self.streams.pop(key, None)
            is_same = known is None or known.version == version
            # A caller may use one id for two streams. Neither can be told by it.
            self.streams[key] = KnownStream(
                version=version if is_same else None, recorded_at=now
            )
        self._remove_expired(now)

    def add_ambiguous(self, key: str, now: float) -> None:
        """Record that streams were reported under one id that can't be told apart."""
        self.streams.pop(key, None)
        self.streams[key] = KnownStream(version=None, recorded_at=now)
        self._remove_expired(now)

    def get(self, key: str) -> StreamVersion | None:
        """Return the version that began a stream, None if it is not known."""
        known = self.streams.get(key)
        return known.version if known else None

    def count_by_version(self) -> dict[str, int]:
        """Return how many streams each version began, by service and version."""
        versions = (item.version for item in self.streams.values() if item.version)
        return dict(Counter(f"{item.service} {item.version}" for item in versions))

    def _remove_expired(self, now: float) -> None:
        while self.streams:
            oldest = next(iter(self.streams.values()))
            is_expired = now - oldest.recorded_at > RETENTION_S
            if not is_expired and len(self.streams) <= MAX_STREAMS:
                return
            self.streams.popitem(last=False)
