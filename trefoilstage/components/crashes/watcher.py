"""Find out which requests crash targets, and block them.

A target that ends cuts all requests under way. One that had been sending for a while
did not end it by beginning to run, and one that ever completes does not crash its
targets. The others are noted with the target, on all hosts; `evidence` judges them.
"""

import asyncio
from collections import defaultdict
from collections.abc import Iterable, Sequence

from mode import Service

from trefoilstage.components.crashes.evidence import CrashEvidence
from trefoilstage.components.crashes.messages import CrashReport
from trefoilstage.components.crashes.models import Crash, decode_crash, make_crash
from trefoilstage.components.crashes.probe import ProbeResult, TargetProbe
from trefoilstage.components.crashes.recorder import CrashRecorder, ListHosts
from trefoilstage.components.peers.server import PeerServer
from trefoilstage.components.views.keyed_view import KeyedRecord
from trefoilstage.components.views.store import Topic
from trefoilstage.exceptions import MalformedMessageError
from trefoilstage.helpers.events import Event, log_event, shorten
from trefoilstage.helpers.verdict import Reason, Refusal
from trefoilstage.timer import TimerService
from trefoilstage.util.hashing import rank_names

# A request that crashes the targets that begin to run it does so within a few steps
# of the engine, also of a slow one.
BEGINNING_S = 1.0
EXPIRE_S = 5.0
# A target whose caller has left ends this much later at most, if the request ends it.
LEFT_S = 0.5


class CrashWatcher(Service):
    """Judge requests by the targets that ended under them."""

    def __init__(
        self,
        *,
        host: str,
        probe: TargetProbe,
        recorder: CrashRecorder,
        server: PeerServer,
        timer: TimerService,
        list_live_hosts: ListHosts,
    ) -> None:
        super().__init__()
        self._host = host
        self._probe = probe
        self._recorder = recorder
        self._timer = timer
        self._list_live_hosts = list_live_hosts
        self._cut: dict[str, set[str]] = defaultdict(set)  # by target being probed
        self.evidence = CrashEvidence()
        server.register(CrashReport, self._take_report)

    async def on_start(self) -> None:
        """Start to forget what is too old."""
        self._unsubscribe = self._timer.subscribe(
            name="crashes", interval_s=EXPIRE_S, callback=self._expire
        )

    async def on_stop(self) -> None:
        """Stop forgetting."""
        self._unsubscribe()

    def check(self, fingerprint: str) -> Refusal | None:
        """Return the refusal of a request that crashes the targets that run it."""
        if fingerprint not in self.evidence.blocked:
            return None
        return Refusal(
            reason=Reason.CRASHES_TARGETS,
            retry_after_s=self.evidence.count_wait(fingerprint, self._now()),
        )

    def note_cut(
        self, fingerprint: str, *, target: str, address: str, progress_s: float
    ) -> None:
        """Take in that a target broke off an answer or gave none."""
        if progress_s > BEGINNING_S:
            self.note_sound(fingerprint)
            return
        self._suspect(fingerprint, target, address)

    def note_left(
        self, fingerprint: str, *, target: str, address: str, progress_s: float
    ) -> None:
        """Take in that a caller left, or its deadline passed, before the answer's end.

        The target may have begun to run the request and end unseen. Only for a request
        that has met an ended target, as many callers leave and each probe costs one.
        """
        if progress_s <= BEGINNING_S and self.evidence.knows(fingerprint):
            self.add_future(self._suspect_later(fingerprint, target, address))

    async def _suspect_later(self, fingerprint: str, target: str, address: str) -> None:
        await asyncio.sleep(LEFT_S)
        self._suspect(fingerprint, target, address)

    def _suspect(self, fingerprint: str, target: str, address: str) -> None:
        is_probed = target in self._cut
        self._cut[target].add(fingerprint)
        if not is_probed:
            self.add_future(self._probe_target(target, address))

    def note_sound(self, fingerprint: str) -> None:
        """Take in that a target ran a request and went on."""
        if self.evidence.knows(fingerprint):
            crashes = self.evidence.list_crashes(fingerprint)
            self._forget(crashes, "ran")
            self._recorder.clear(fingerprint, crashes)

    def take_records(self, records: Iterable[KeyedRecord]) -> None:
        """Take in what the store says of crashes."""
        for record in records:
            try:
                crash = decode_crash(record)
            except MalformedMessageError as error:
                log_event(
                    Event.RECORD_MALFORMED,
                    topic=Topic.CRASHES,
                    offset=record.offset,
                    error=shorten(str(error)),
                )
                continue
            if record.value is None:
                self._forget([crash], "erased")
            else:
                self._add(crash)

    async def _probe_target(self, target: str, address: str) -> None:
        result = await self._probe.connect(address)
        fingerprints = self._cut.pop(target)
        if result is ProbeResult.ACCEPTED:
            # It broke off answers and goes on.
            return
        log_event(
            Event.TARGET_ENDED, target=target, connect=result, n_cut=len(fingerprints)
        )
        crashes = [make_crash(name, target) for name in sorted(fingerprints)]
        for crash in crashes:
            self._add(crash)
        self._recorder.record(crashes)

    async def _take_report(self, report: CrashReport) -> None:
        for crash in report.crashes:
            self._add(crash)
        for fingerprint in report.sound:
            self._forget(self.evidence.list_crashes(fingerprint), "ran")
        if report.relay:
            self._recorder.write(report.crashes)

    def _add(self, crash: Crash) -> None:
        before = self.evidence.blocked
        if self.evidence.add(crash, self._now()):
            self._log_changes(before, "crashed")

    def _forget(self, crashes: Sequence[Crash], reason: str) -> None:
        before = self.evidence.blocked
        for crash in crashes:
            self.evidence.remove(crash)
        self._log_changes(before, reason)

    def _log_changes(self, before: frozenset[str], reason: str) -> None:
        blocked = self.evidence.blocked
        for fingerprint in blocked - before:
            log_event(
                Event.REQUEST_BLOCKED,
                fingerprint=fingerprint,
                targets=",".join(sorted(self.evidence.targets[fingerprint])),
            )
        for fingerprint in before - blocked:
            log_event(Event.REQUEST_UNBLOCKED, fingerprint=fingerprint, reason=reason)

    async def _expire(self) -> None:
        expired = self.evidence.list_expired(self._now())
        if not expired:
            return
        self._forget(expired, "expired")
        live = self._list_live_hosts()
        # One host erases a record; any other would write the same.
        own = [
            crash
            for crash in expired
            if rank_names(crash.fingerprint, live)[:1] == (self._host,)
        ]
        self._recorder.erase(own)

    def _now(self) -> float:
        return asyncio.get_running_loop().time()
