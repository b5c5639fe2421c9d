"""Detect requests and prompt parts that crash targets, and block them.

A target that stops interrupts all its running requests. A request that had been running
for a while did not crash the target by starting, and a request that ever completes does
not crash its targets; the same holds for each part of its prompt. All other interrupted
requests are recorded with the target on all hosts, and `causes` decides which of them,
or of their parts, to block.
"""

import asyncio
import random
from collections import defaultdict
from collections.abc import Iterable, Sequence
from itertools import chain

from mode import Service

from trefoilstage.components.crashes.causes import MIN_CRASHED_TARGETS
from trefoilstage.components.crashes.completed_runs import (
    CRASHES_WITHIN_S,
    CompletedRuns,
    Run,
)
from trefoilstage.components.crashes.evidence import (
    MAX_CRASHES,
    SUSPECT_RETENTION_S,
    CrashEvidence,
)
from trefoilstage.components.crashes.evidence_log import decode_or_log, log_changes
from trefoilstage.components.crashes.fingerprint import describe_parts
from trefoilstage.components.crashes.messages import CrashReport
from trefoilstage.components.crashes.models import (
    Crash,
    CrashRecord,
    SoundPart,
    make_crash,
)
from trefoilstage.components.crashes.probe import ProbeResult, TargetProbe
from trefoilstage.components.crashes.recent_runs import RecentRuns
from trefoilstage.components.crashes.recorder import CrashRecorder, HostLister
from trefoilstage.components.peers.server import PeerServer
from trefoilstage.components.views.keyed_view import KeyedRecord
from trefoilstage.helpers.events import Event, log_event
from trefoilstage.helpers.verdict import Reason, Refusal
from trefoilstage.timer import TimerService
from trefoilstage.util.hashing import rank_by_rendezvous_cached

# An answer that went on for longer is not the cause, even on a slow engine.
MAX_SUSPECT_PROGRESS_S = 1.0
EXPIRY_INTERVAL_S = 5.0
# If a request crashes its target after the caller has left, it does so by this time.
PROBE_DELAY_S = 0.5
# A request that ran within this time crashes no targets.
RAN_LATELY_S = 30.0
# Parts come in many more requests, so that a sound one soon runs again.
PART_RAN_LATELY_S = 10.0
# A part with fewer crashes is not about to be blocked.
MIN_CRASHES_TO_CLEAR = 2
# One run may be a short answer whose target crashed unnoticed, unless that is excluded.
MIN_RUNS_TO_CLEAR = 3
# A request that several targets answered in the last moments is a frequent one.
MIN_COMPLETED_RUNS = 2
# The time for a record to reach all hosts, divided by the largest number of writers.
CLEAR_DELAY_S = 0.005
MS_PER_S = 1_000


class CrashWatcher(Service):
    """Block requests and prompt parts under which several targets have crashed."""

    def __init__(
        self,
        *,
        host: str,
        probe: TargetProbe,
        recorder: CrashRecorder,
        server: PeerServer,
        timer: TimerService,
        list_live_hosts: HostLister,
        unix_offset_s: float,
        generator: random.Random,
    ) -> None:
        super().__init__()
        self._host = host
        self._generator = generator
        self._unix_offset_s = unix_offset_s  # Unix time minus loop time
        self._probe = probe
        self._recorder = recorder
        self._timer = timer
        self._list_live_hosts = list_live_hosts
        self._interrupted: dict[str, list[Run]] = defaultdict(list)  # by target
        self._completed = CompletedRuns()
        self._ran_requests = RecentRuns(retention_s=RAN_LATELY_S)
        self._ran_parts = RecentRuns(retention_s=PART_RAN_LATELY_S)
        # When this host learned that a part is harmless whose record is in the store.
        self._sound_parts: dict[str, float] = {}
        self.evidence = CrashEvidence(is_exonerated=self._has_part_run_lately)
        server.register(CrashReport, self._handle_report)

    async def on_start(self) -> None:
        """Start removing expired crashes."""
        self._unsubscribe = self._timer.subscribe(
            name="crashes", interval_s=EXPIRY_INTERVAL_S, callback=self._expire
        )

    async def on_stop(self) -> None:
        """Stop removing expired crashes."""
        self._unsubscribe()

    def get_refusal(
        self, fingerprint: str, parts: Sequence[str] = ()
    ) -> Refusal | None:
        """Return a refusal for a blocked request, None for any other.

        `parts` are those of its prompt that other requests may share.
        """
        causes = self.evidence.causes
        blocked_parts = causes.find_parts(frozenset(parts))
        is_request_blocked = fingerprint in causes.fingerprints
        if not (blocked_parts or is_request_blocked):
            return None
        if self._has_request_run_lately(fingerprint):
            return None
        return Refusal(
            reason=Reason.CRASHES_TARGETS,
            detail=describe_parts(sorted(blocked_parts or ())),
            retry_after_s=self.evidence.compute_wait_s(
                fingerprint, frozenset(parts), self._now()
            ),
        )

    def record_interruption(self, run: Run, *, progress_s: float) -> None:
        """Record that a target broke off a response or sent none.

        `progress_s` is the time for which the response had been arriving.
        """
        if progress_s > MAX_SUSPECT_PROGRESS_S:
            self.record_harmless(run.fingerprint, run.parts)
        elif progress_s <= CRASHES_WITHIN_S:
            self._suspect(run)

    def record_caller_left(self, run: Run, *, progress_s: float) -> None:
        """Record that a caller left, or its deadline passed, before the response ended.

        The request may crash the target unobserved. Only requests with a recorded crash
        are checked, because many callers leave and each check costs a connection.
        """
        if progress_s <= CRASHES_WITHIN_S and self._is_suspect(run):
            self.add_future(self._suspect_after_delay(run))

    async def _suspect_after_delay(self, run: Run) -> None:
        await asyncio.sleep(PROBE_DELAY_S)
        self._suspect(run)

    def record_completed(
        self, run: Run, *, progress_s: float, is_end_certain: bool
    ) -> None:
        """Record that a target completed a response.

        If its end isn't certain, the target may have stopped while it sent it.
        """
        self._confirm_old_runs()
        min_progress_s = CRASHES_WITHIN_S if is_end_certain else MAX_SUSPECT_PROGRESS_S
        if progress_s > min_progress_s:
            self.record_harmless(run.fingerprint, run.parts)
        elif is_end_certain and not self._is_suspect(run):
            self._completed.add(run, self._now())
        else:
            self.add_future(self._confirm(run))

    def _confirm_old_runs(self) -> None:
        for run in self._completed.pop_old(self._now()):
            if self.evidence.has_target(run.target):
                # Another host noticed that the target stopped.
                self._record_crashes(run.target, [run])
            else:
                self.record_harmless(run.fingerprint, run.parts, is_certain=False)

    async def _confirm(self, run: Run) -> None:
        """Record a completed run as harmless if its target goes on."""
        await asyncio.sleep(CRASHES_WITHIN_S)
        if await self._probe.connect(run.address) is ProbeResult.ACCEPTED:
            self.record_harmless(run.fingerprint, run.parts)
        else:
            self._suspect(run)

    def _is_suspect(self, run: Run) -> bool:
        suspected = frozenset(self._select_suspected(run.parts))
        return self.evidence.has_crashes(run.fingerprint, suspected)

    def _suspect(self, run: Run) -> None:
        is_being_probed = run.target in self._interrupted
        self._interrupted[run.target].append(run)
        if not is_being_probed:
            self.add_future(self._probe_target(run.target, run.address))

    def record_harmless(
        self, fingerprint: str, parts: Sequence[str] = (), *, is_certain: bool = True
    ) -> None:
        """Record that a target ran a request without crashing.

        If that isn't certain, the target may have stopped unnoticed.
        """
        now = self._now()
        n_runs = MIN_RUNS_TO_CLEAR if is_certain else 1
        self._ran_requests.record(fingerprint, now, n_runs=n_runs)
        if self.evidence.has_crashes(fingerprint):
            self._clear_request(fingerprint)
        for part in parts:
            self._ran_parts.record(part, now, n_runs=n_runs)
            if self.evidence.count_targets(
                part
            ) >= MIN_CRASHES_TO_CLEAR and self._has_part_run_lately(part):
                self._clear_part(part)

    def apply_records(self, records: Iterable[KeyedRecord]) -> None:
        """Apply records from the store, the oldest first."""
        added: list[Crash] = []
        for record in sorted(records, key=lambda item: item.offset):
            item = decode_or_log(record)
            if item is None:
                continue
            if isinstance(item, Crash) and record.value is not None:
                added.append(item)
                continue
            self._change_evidence("crashed", add=added)
            added = []
            if isinstance(item, Crash):
                self._change_evidence("erased", remove=[item])
            elif record.value is not None:
                self._accept_sound_parts([item.part])
            else:
                self._sound_parts.pop(item.part, None)
        self._change_evidence("crashed", add=added)

    def write_again(self) -> None:
        """Write crashes to the store again, which came back from an older copy."""
        self._recorder.write(self._select_assigned(self.evidence.list_all()))
        # Written later than the crashes, it would clear those that came after it.
        sound = [
            self._make_sound_part(part)
            for part in self._sound_parts
            if not self.evidence.count_targets(part)
        ]
        self._recorder.write(self._select_assigned(sound))

    def _select_assigned(self, records: Iterable[CrashRecord]) -> list[CrashRecord]:
        """Return the records that this host writes or deletes for all hosts."""
        live = self._list_live_hosts()
        return [
            record
            for record in records
            if rank_by_rendezvous_cached(get_subject(record), live)[:1] == (self._host,)
        ]

    async def _probe_target(self, target: str, address: str) -> None:
        result = await self._probe.connect(address)
        self._confirm_old_runs()
        interrupted = self._interrupted.pop(target)
        if result is ProbeResult.ACCEPTED:
            # The target broke off responses but is still running.
            return
        runs = [*interrupted, *self._completed.pop_target(target)]
        n_cut = self._record_crashes(target, runs)
        log_event(Event.TARGET_ENDED, target=target, connect=result, n_cut=n_cut)

    def _record_crashes(self, target: str, runs: Sequence[Run]) -> int:
        """Record that a target stopped under some runs; return how many are suspect."""
        at_ms = self._get_unix_ms()
        parts_by_fingerprint = {
            run.fingerprint: self._select_suspected(run.parts)
            for run in runs
            if not self._has_request_run_lately(run.fingerprint)
        }
        crashes = [
            make_crash(fingerprint, target, parts=parts, at_ms=at_ms)
            for fingerprint, parts in sorted(parts_by_fingerprint.items())
        ]
        if crashes:
            self._change_evidence("crashed", add=crashes)
            self._recorder.record(crashes)
        return len(crashes)

    async def _handle_report(self, report: CrashReport) -> None:
        self._change_evidence("crashed", add=report.crashes)
        for fingerprint in report.sound:
            crashes = self.evidence.list_crashes(fingerprint)
            self._change_evidence("ran", remove=crashes)
        self._accept_sound_parts(report.sound_parts)
        if report.relay:
            sound = [self._make_sound_part(part) for part in report.sound_parts]
            self._recorder.write([*report.crashes, *sound])

    def _accept_sound_parts(self, parts: Iterable[str]) -> None:
        for part in parts:
            self._sound_parts[part] = self._now()
            self._change_evidence("ran", remove_parts=[part])
        while len(self._sound_parts) > MAX_CRASHES:
            self._sound_parts.pop(next(iter(self._sound_parts)))

    def _change_evidence(
        self,
        reason: str,
        *,
        add: Sequence[Crash] = (),
        remove: Sequence[Crash] = (),
        remove_parts: Sequence[str] = (),
    ) -> None:
        """Change the evidence, and log what is blocked or unblocked by it."""
        if not (add or remove or remove_parts):
            return
        previous = self.evidence.causes
        now = self._now()
        for crash in add:
            self.evidence.add(crash, now)
        for crash in remove:
            self.evidence.remove(crash)
        for part in remove_parts:
            self.evidence.remove_part(part)
        log_changes(previous, self.evidence, reason)
        if any(map(self._is_wrongly_suspected, add)):
            self.add_future(self._clear_wrongly_suspected(add))

    def _is_wrongly_suspected(self, crash: Crash) -> bool:
        """Return whether other hosts may block what ran here lately."""
        return self._is_request_wrongly_suspected(crash.fingerprint) or any(
            map(self._is_part_wrongly_suspected, crash.parts)
        )

    def _is_request_wrongly_suspected(self, fingerprint: str) -> bool:
        n_targets = len(self.evidence.targets_by_fingerprint.get(fingerprint, ()))
        n_runs = self._ran_requests.count(fingerprint, self._now())
        return n_targets >= MIN_CRASHED_TARGETS and n_runs >= MIN_RUNS_TO_CLEAR

    def _is_part_wrongly_suspected(self, part: str) -> bool:
        n_targets = self.evidence.count_targets(part)
        return n_targets >= MIN_CRASHED_TARGETS and self._has_part_run_lately(part)

    async def _clear_wrongly_suspected(self, crashes: Sequence[Crash]) -> None:
        # Hosts of a large fleet that know the same answer one after another, so that
        # the first answer reaches most of the others before they write.
        n_hosts = len(self._list_live_hosts())
        await asyncio.sleep(self._generator.uniform(0.0, n_hosts * CLEAR_DELAY_S))
        for fingerprint in {crash.fingerprint for crash in crashes}:
            if self._is_request_wrongly_suspected(fingerprint):
                self._clear_request(fingerprint)
        for part in set(chain.from_iterable(crash.parts for crash in crashes)):
            if self._is_part_wrongly_suspected(part):
                self._clear_part(part)

    def _clear_request(self, fingerprint: str) -> None:
        crashes = self.evidence.list_crashes(fingerprint)
        self._change_evidence("ran", remove=crashes)
        self._recorder.clear(fingerprint, crashes)

    def _clear_part(self, part: str) -> None:
        self._change_evidence("ran", remove_parts=[part])
        self._recorder.clear_part(self._make_sound_part(part))

    def _make_sound_part(self, part: str) -> SoundPart:
        return SoundPart(part=part, at_ms=self._get_unix_ms())

    def _select_suspected(self, parts: Iterable[str]) -> tuple[str, ...]:
        """Return the parts that did not run here lately."""
        return tuple(part for part in parts if not self._has_part_run_lately(part))

    def _has_request_run_lately(self, fingerprint: str) -> bool:
        n_runs = self._ran_requests.count(fingerprint, self._now())
        return n_runs > 0 or self._completed.count(fingerprint) >= MIN_COMPLETED_RUNS

    def _has_part_run_lately(self, part: str) -> bool:
        return self._ran_parts.count(part, self._now()) >= MIN_RUNS_TO_CLEAR

    async def _expire(self) -> None:
        self._confirm_old_runs()
        now = self._now()
        expired = self.evidence.list_expired(now)
        self._change_evidence("expired", remove=expired)
        sound = [
            SoundPart(part=part)
            for part, sound_at in self._sound_parts.items()
            if now - sound_at > SUSPECT_RETENTION_S
        ]
        for item in sound:
            del self._sound_parts[item.part]
        self._recorder.delete(self._select_assigned([*expired, *sound]))

    def _now(self) -> float:
        return asyncio.get_running_loop().time()

    def _get_unix_ms(self) -> int:
        return int((self._now() + self._unix_offset_s) * MS_PER_S)


def get_subject(record: CrashRecord) -> str:
    """Return the request or the part that a record is about."""
    return record.fingerprint if isinstance(record, Crash) else record.part
