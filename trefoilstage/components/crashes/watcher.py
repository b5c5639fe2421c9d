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
from collections.abc import Callable, Iterable, Sequence
from functools import partial
from itertools import chain

from mode import Service

from trefoilstage.components.crashes.causes import MIN_CRASHED_TARGETS
from trefoilstage.components.crashes.completed_runs import (
    CRASHES_WITHIN_S,
    CompletedRuns,
    Run,
)
from trefoilstage.components.crashes.evidence import CrashEvidence
from trefoilstage.components.crashes.evidence_log import decode_or_log, log_changes
from trefoilstage.components.crashes.load_reports import LoadReports
from trefoilstage.components.crashes.messages import CrashReport
from trefoilstage.components.crashes.models import (
    Crash,
    SoundPart,
    is_assigned,
    make_crash,
    select_assigned,
)
from trefoilstage.components.crashes.probe import ProbeResult, TargetProbe
from trefoilstage.components.crashes.recent_runs import RecentRuns
from trefoilstage.components.crashes.recorder import CrashRecorder, HostLister
from trefoilstage.components.crashes.refusals import CrashRefusals
from trefoilstage.components.crashes.sound_parts import SoundParts
from trefoilstage.components.crashes.target_loads import CutRequests, count_none
from trefoilstage.components.peers.server import PeerServer
from trefoilstage.components.views.keyed_view import KeyedRecord
from trefoilstage.helpers.events import Event, log_event
from trefoilstage.helpers.verdict import Refusal
from trefoilstage.timer import TimerService

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
        count_requests: Callable[[str], int] = count_none,
        weighs_load: bool = True,
    ) -> None:
        super().__init__()
        # Whether targets may crash because of the number of their requests.
        self._weighs_load = weighs_load
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
        self._sound_parts = SoundParts()
        self.evidence = CrashEvidence(
            is_exonerated=self._has_part_run_lately, unix_offset_s=unix_offset_s
        )
        self._cuts = CutRequests(host=host, count_requests=count_requests)
        is_writer = partial(is_assigned, host=host, list_hosts=list_live_hosts)
        self._select_assigned = partial(select_assigned, is_writer=is_writer)
        self._loads = LoadReports(
            self.evidence, self.add_future, recorder.write, is_writer
        )
        self._refusals = CrashRefusals(
            host=host, list_live_hosts=list_live_hosts, claims=recorder
        )
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
        self, fingerprint: str, parts: Sequence[str] = (), request_id: str = ""
    ) -> Refusal | None:
        """Return a refusal for a request that must not be sent now, None for any other.

        `parts` are those of its prompt that other requests may share.
        """
        names = frozenset(parts)
        is_suspect = self.evidence.is_suspect(fingerprint, names)
        if not is_suspect or self._has_request_run_lately(fingerprint):
            return None
        return self._refusals.get_refusal(
            self.evidence, fingerprint, names, request_id, self._now()
        )

    def record_interruption(self, run: Run, *, progress_s: float) -> None:
        """Record that a target broke off a response or sent none.

        `progress_s` is the time for which the response had been arriving.
        """
        self._cuts.add(run.target, self._now())
        self.evidence.loads.set_address(run.target, run.address)
        if progress_s > MAX_SUSPECT_PROGRESS_S:
            self.record_harmless(run.fingerprint, run.parts)
        if progress_s <= CRASHES_WITHIN_S:
            self._check_target(run, run)
        elif self._weighs_load and run.n_slots:
            # The other hosts count this request if the target crashed.
            self._check_target(run)

    def record_caller_left(self, run: Run, *, progress_s: float) -> None:
        """Record that a caller left, or its deadline passed, before the response ended.

        The request may crash the target unobserved. Only requests with a recorded crash
        are checked, because many callers leave and each check costs a connection.
        """
        if progress_s <= CRASHES_WITHIN_S and self._is_suspect(run):
            self.add_future(self._suspect_after_delay(run))

    async def _suspect_after_delay(self, run: Run) -> None:
        await asyncio.sleep(PROBE_DELAY_S)
        self._check_target(run, run)

    def record_completed(
        self, run: Run, *, progress_s: float, is_end_certain: bool
    ) -> None:
        """Record that a target completed a response.

        If its end isn't certain, the target may have stopped while it sent it.
        """
        self.evidence.loads.set_address(run.target, run.address)
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
            start = self.evidence.find_start(run.target, run.sent_at)
            if self.evidence.has_target(start):
                # Another host noticed that the target stopped.
                self._record_crashes(start, [run], run)
            else:
                self.record_harmless(run.fingerprint, run.parts, is_certain=False)

    async def _confirm(self, run: Run) -> None:
        """Record a completed run as harmless if its target goes on."""
        await asyncio.sleep(CRASHES_WITHIN_S)
        if await self._probe.connect(run.address) is ProbeResult.ACCEPTED:
            self.record_harmless(run.fingerprint, run.parts)
        else:
            self._check_target(run, run)

    def _is_suspect(self, run: Run) -> bool:
        suspected = frozenset(self._select_suspected(run.parts))
        return self.evidence.has_crashes(run.fingerprint, suspected)

    def _check_target(self, run: Run, *suspected: Run) -> None:
        is_being_probed = run.target in self._interrupted
        self._interrupted[run.target] += suspected
        if not is_being_probed:
            self.add_future(self._probe_target(run))

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

    async def _probe_target(self, run: Run) -> None:
        target = run.target
        result = await self._probe.connect(run.address)
        self._confirm_old_runs()
        interrupted = self._interrupted.pop(target)
        if result is ProbeResult.ACCEPTED:
            return  # The target broke off responses but is still running.
        runs = [*interrupted, *self._completed.pop_target(target)]
        if result is ProbeResult.REFUSED:
            sent_at = max((item.sent_at for item in interrupted), default=0.0)
            target = self.evidence.find_start(target, sent_at)
        n_cut = self._record_crashes(target, runs, run)
        log_event(Event.TARGET_ENDED, target=target, connect=result, n_cut=n_cut)

    def _record_crashes(self, target: str, runs: Sequence[Run], cut: Run) -> int:
        """Record that a target stopped under some runs; return how many are suspect.

        `cut` is a run that the target cut, which need not be suspect.
        """
        at_ms = self._get_unix_ms()
        load = None
        if self._weighs_load:
            load = self._cuts.make_load(cut, target, self._now(), at_ms)
        parts_by_fingerprint = {
            run.fingerprint: self._select_suspected(run.parts)
            for run in runs
            if not self._has_request_run_lately(run.fingerprint)
        }
        trials = self._refusals.list_trials(runs)
        make = partial(make_crash, target=target, at_ms=at_ms, load=load)
        crashes = [
            make(fingerprint, parts=parts, is_trial=fingerprint in trials)
            for fingerprint, parts in sorted(parts_by_fingerprint.items())
        ]
        if crashes:
            self._change_evidence("crashed", add=crashes)
            self._recorder.record(crashes)
        elif load is not None:
            self._loads.add([load])
            self._recorder.record_load(load)
        return len(crashes)

    async def _handle_report(self, report: CrashReport) -> None:
        self._loads.add(report.loads)
        self._refusals.receive_claims(report.trials, self._get_unix_ms())
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
            self._sound_parts.add(part, self._now())
            self._change_evidence("ran", remove_parts=[part])

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
            self._loads.wait_for_others(crash, self._get_unix_ms())
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
        expired = self.evidence.list_expired(self._now())
        self._change_evidence("expired", remove=expired)
        sound = self._sound_parts.pop_expired(self._now())
        self._recorder.delete(self._select_assigned([*expired, *sound]))

    def _now(self) -> float:
        return asyncio.get_running_loop().time()

    def _get_unix_ms(self) -> int:
        return int((self._now() + self._unix_offset_s) * MS_PER_S)
