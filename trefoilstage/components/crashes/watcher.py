"""Find out which targets ended while they ran requests."""

from collections import Counter

from mode import Service

from trefoilstage.components.crashes.probe import ProbeResult, TargetProbe
from trefoilstage.components.forwarding.models import TargetEntry
from trefoilstage.helpers.events import Event, log_event


class CrashWatcher(Service):
    """Probe targets that cut requests."""

    def __init__(self, *, probe: TargetProbe) -> None:
        super().__init__()
        self._probe = probe
        self._cut: Counter[str] = Counter()  # by target, while it is probed

    def note_cut(self, target: TargetEntry) -> None:
        """Take in that a target broke off an answer or gave none."""
        self._cut[target.incarnation] += 1
        if self._cut[target.incarnation] == 1:
            self.add_future(self._probe_target(target))

    async def _probe_target(self, target: TargetEntry) -> None:
        result = await self._probe.connect(target.address)
        n_cut = self._cut.pop(target.incarnation)
        if result is not ProbeResult.ACCEPTED:
            log_event(
                Event.TARGET_ENDED, target=target.name, connect=result, n_cut=n_cut
            )
