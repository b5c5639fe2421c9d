"""Keep which parts of prompts ran that earlier crashes made suspect; pure."""

from trefoilstage.components.crashes.evidence import MAX_CRASHES, SUSPECT_RETENTION_S
from trefoilstage.components.crashes.models import SoundPart


class SoundParts(dict[str, float]):
    """Map parts whose records are in the store to when this host learned of them."""

    def add(self, part: str, now: float) -> None:
        """Add a part; remove the oldest beyond the limit."""
        self[part] = now
        while len(self) > MAX_CRASHES:
            del self[next(iter(self))]

    def pop_expired(self, now: float) -> list[SoundPart]:
        """Remove and return the parts whose crashes have expired since."""
        expired = [part for part, at in self.items() if now - at > SUSPECT_RETENTION_S]
        for part in expired:
            del self[part]
        return [SoundPart(part=part) for part in expired]
