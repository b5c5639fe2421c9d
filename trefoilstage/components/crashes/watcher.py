"""Detect requests that crash targets, and block them.

A target that stops interrupts all its running requests. A request that had been running
for a while did not crash the target by starting, and a request that ever completes does
not crash its targets. All other interrupted requests are recorded with the target on
all hosts, and `evidence` decides which of them to block.
"""

import asyncio
from collections import OrderedDict, defaultdict
from collections.abc import Iterable, Sequence

from mode import Service

from trefoilstage.components.crashes.evidence import CrashEvidence
from trefoilstage.components.crashes.messages import CrashReport
from trefoilstage.components.crashes.models import Crash, decode_crash, make_crash
from trefoilstage.components.crashes.probe import ProbeResult, TargetProbe
from trefoilstage.components.crashes.recorder import CrashRecorder, HostLister
from trefoilstage.components.peers.server import PeerServer
from trefoilstage.components.views.keyed_view import KeyedRecord
from trefoilstage.components.views.store import Topic
from trefoilstage.exceptions import MalformedMessageError
from trefoilstage.helpers.events import Event, log_event, truncate_text
from trefoilstage.helpers.verdict import Reason, Refusal
from trefoilstage.timer import TimerService
from trefoilstage.util.hashing import rank_by_rendezvous_cached

# A request that crashes targets does so within a few engine steps of its start, which
# take less time than this even on a slow engine.
MAX_SUSPECT_PROGRESS_S = 1.0
EXPIRY_INTERVAL_S = 5.0
# If a request crashes its target after the caller has left, it does so by this time.
PROBE_DELAY_S = 0.5
# A request that ran within this time crashes no targets.
RAN_LATELY_S = 30.0
MAX_RAN = 4_096


class CrashWatcher(Service):
    """Block requests under which several targets have crashed."""

    def __init__(
        self,
        *,
        host: str,
        probe: TargetProbe,
        recorder: CrashRecorder,
        server: PeerServer,
        timer: TimerService,
        list_live_hosts: HostLister,
    ) -> None:
        super().__init__()
        self._host = host
        self._probe = probe
        self._recorder = recorder
        self._timer = timer
        self._list_live_hosts = list_live_hosts
        # Fingerprints of interrupted requests, by the target being probed.
        self._interrupted: dict[str, set[str]] = defaultdict(set)
        # When the latest requests ran without crashing a target, by fingerprint.
        self._ran_at: OrderedDict[str, float] = OrderedDict()
        self.evidence = CrashEvidence()
        server.register(CrashReport, self._handle_report)

    async def on_start(self) -> None:
        """Start removing expired crashes."""
        self._unsubscribe = self._timer.subscribe(
            name="crashes", interval_s=EXPIRY_INTERVAL_S, callback=self._expire
        )

    async def on_stop(self) -> None:
        """Stop removing expired crashes."""
        self._unsubscribe()

    def get_refusal(self, fingerprint: str) -> Refusal | None:
        """Return a refusal for a blocked request, None for any other."""
        if fingerprint not in self.evidence.blocked_fingerprints or self._ran_lately(
            fingerprint
        ):
            return None
        return Refusal(
            reason=Reason.CRASHES_TARGETS,
            retry_after_s=self.evidence.compute_wait_s(fingerprint, self._now()),
        )

    def _ran_lately(self, fingerprint: str) -> bool:
        ran_at = self._ran_at.get(fingerprint)
        return ran_at is not None and self._now() - ran_at <= RAN_LATELY_S

    def record_interruption(
        self, fingerprint: str, *, target: str, address: str, progress_s: float
    ) -> None:
        """Record that a target broke off a response or sent none.

        `progress_s` is the time for which the response had been arriving.
        """
        if progress_s > MAX_SUSPECT_PROGRESS_S:
            self.record_harmless(fingerprint)
            return
        self._suspect(fingerprint, target, address)

    def record_caller_left(
        self, fingerprint: str, *, target: str, address: str, progress_s: float
    ) -> None:
        """Record that a caller left, or its deadline passed, before the response ended.

        The request may crash the target unobserved. Only requests with a recorded crash
        are checked, because many callers leave and each check costs a connection.
        """
        if progress_s <= MAX_SUSPECT_PROGRESS_S and self.evidence.has_crashes(
            fingerprint
        ):
            self.add_future(self._suspect_after_delay(fingerprint, target, address))

    async def _suspect_after_delay(
        self, fingerprint: str, target: str, address: str
    ) -> None:
        await asyncio.sleep(PROBE_DELAY_S)
        self._suspect(fingerprint, target, address)

    def _suspect(self, fingerprint: str, target: str, address: str) -> None:
        is_being_probed = target in self._interrupted
        self._interrupted[target].add(fingerprint)
        if not is_being_probed:
            self.add_future(self._probe_target(target, address))

    def record_harmless(self, fingerprint: str) -> None:
        """Record that a target ran a request without crashing."""
        self._ran_at[fingerprint] = self._now()
        self._ran_at.move_to_end(fingerprint)
        if len(self._ran_at) > MAX_RAN:
            self._ran_at.popitem(last=False)
        if self.evidence.has_crashes(fingerprint):
            crashes = self.evidence.list_crashes(fingerprint)
            self._remove_crashes(crashes, "ran")
            self._recorder.clear(fingerprint, crashes)

    def apply_records(self, records: Iterable[KeyedRecord]) -> None:
        """Apply crash records from the store."""
        for record in records:
            try:
                crash = decode_crash(record)
            except MalformedMessageError as error:
                log_event(
                    Event.RECORD_MALFORMED,
                    topic=Topic.CRASHES,
                    offset=record.offset,
                    error=truncate_text(str(error)),
                )
                continue
            if record.value is None:
                self._remove_crashes([crash], "erased")
            else:
                self._add_crash(crash)

    def write_again(self) -> None:
        """Write crashes to the store again, which came back from an older copy."""
        known = list(self.evidence.seen_at)
        self._recorder.write(self._select_assigned(known))

    def _select_assigned(self, crashes: Iterable[Crash]) -> list[Crash]:
        """Return the crashes that this host writes or deletes for all hosts."""
        live = self._list_live_hosts()
        return [
            crash
            for crash in crashes
            if rank_by_rendezvous_cached(crash.fingerprint, live)[:1] == (self._host,)
        ]

    async def _probe_target(self, target: str, address: str) -> None:
        result = await self._probe.connect(address)
        fingerprints = {
            item for item in self._interrupted.pop(target) if not self._ran_lately(item)
        }
        if result is ProbeResult.ACCEPTED:
            # The target broke off responses but is still running.
            return
        log_event(
            Event.TARGET_ENDED, target=target, connect=result, n_cut=len(fingerprints)
        )
        crashes = [make_crash(name, target) for name in sorted(fingerprints)]
        for crash in crashes:
            self._add_crash(crash)
        self._recorder.record(crashes)

    async def _handle_report(self, report: CrashReport) -> None:
        for crash in report.crashes:
            self._add_crash(crash)
        for fingerprint in report.sound:
            self._remove_crashes(self.evidence.list_crashes(fingerprint), "ran")
        if report.relay:
            self._recorder.write(report.crashes)

    def _add_crash(self, crash: Crash) -> None:
        previously_blocked = self.evidence.blocked_fingerprints
        if self.evidence.add(crash, self._now()):
            self._log_changes(previously_blocked, "crashed")

    def _remove_crashes(self, crashes: Sequence[Crash], reason: str) -> None:
        previously_blocked = self.evidence.blocked_fingerprints
        for crash in crashes:
            self.evidence.remove(crash)
        self._log_changes(previously_blocked, reason)

    def _log_changes(self, previously_blocked: frozenset[str], reason: str) -> None:
        blocked = self.evidence.blocked_fingerprints
        for fingerprint in blocked - previously_blocked:
            log_event(
                Event.REQUEST_BLOCKED,
                fingerprint=fingerprint,
                targets=",".join(
                    sorted(self.evidence.targets_by_fingerprint[fingerprint])
                ),
            )
        for fingerprint in previously_blocked - blocked:
            log_event(Event.REQUEST_UNBLOCKED, fingerprint=fingerprint, reason=reason)

    async def _expire(self) -> None:
        expired = self.evidence.list_expired(self._now())
        if not expired:
            return
        self._remove_crashes(expired, "expired")
        self._recorder.delete(self._select_assigned(expired))

    def _now(self) -> float:
        return asyncio.get_running_loop().time()
