"""Test which requests hosts block when targets crash above their slots."""

import asyncio
import random
import unittest
from collections.abc import Sequence
from dataclasses import dataclass, field
from functools import partial
from typing import Any, cast

from tests.components.crashes.common import StubParts
from trefoilstage.components.crashes.causes import GRACE_MS, MAX_TRIAL_CRASHES
from trefoilstage.components.crashes.completed_runs import Run
from trefoilstage.components.crashes.evidence import CrashEvidence
from trefoilstage.components.crashes.messages import CrashReport
from trefoilstage.components.crashes.models import Crash, TargetLoad
from trefoilstage.components.crashes.refusals import FIRST_TURN_MS, wait_for_trial
from trefoilstage.components.crashes.target_loads import SETTLE_S
from trefoilstage.components.crashes.watcher import MIN_RUNS_TO_CLEAR, CrashWatcher
from trefoilstage.helpers.verdict import Reason

HOSTS = ("host-0", "host-1", "host-2")
N_SLOTS = 4
# Virtual time between the requests of a caller that repeats a crashing request.
REPEAT_S = 0.1
REPEATS_S = 60.0


@dataclass(kw_only=True)
class ConnectedParts(StubParts):
    """Deliver one host's reports to the other hosts."""

    host: str
    watchers: dict[str, CrashWatcher]
    test: "OverloadTestCase"
    tasks: set[asyncio.Task[None]] = field(default_factory=set)

    def record(self, crashes: Sequence[Crash]) -> None:
        super().record(crashes)
        self._send(CrashReport(host=self.host, crashes=tuple(crashes)))

    def record_load(self, load: TargetLoad) -> None:
        self._send(CrashReport(host=self.host, loads=(load,)))

    def are_shared(self) -> bool:
        return self.test.are_claims_shared

    def share_trials(self, names: Sequence[str]) -> None:
        if self.are_shared():
            self._send(CrashReport(host=self.host, trials=tuple(names)))

    def clear(self, fingerprint: str, crashes: Sequence[Crash]) -> None:
        super().clear(fingerprint, crashes)
        self._send(CrashReport(host=self.host, sound=(fingerprint,)))

    def _send(self, report: CrashReport) -> None:
        for host, watcher in self.watchers.items():
            if host != self.host:
                task = asyncio.create_task(watcher._handle_report(report))
                self.tasks.add(task)


class OverloadTestCase(unittest.IsolatedAsyncioTestCase):
    """Run the watchers of three hosts without a network."""

    n_known_requests = 0  # of all hosts, at each target
    are_claims_shared = True
    weighs_load = True

    async def asyncSetUp(self) -> None:
        self.watchers: dict[str, CrashWatcher] = {}
        self.stubs: list[ConnectedParts] = []
        for host in HOSTS:
            stub = ConnectedParts(host=host, watchers=self.watchers, test=self)
            self.stubs.append(stub)
            part = cast(Any, stub)
            self.watchers[host] = CrashWatcher(
                host=host,
                probe=part,
                recorder=part,
                server=part,
                timer=part,
                list_live_hosts=lambda: HOSTS,
                unix_offset_s=1_000.0,
                generator=random.Random(1),
                count_requests=lambda _: self.n_known_requests,
                weighs_load=self.weighs_load,
            )

    def pass_time(self, seconds: float) -> None:
        """Let time pass on all hosts' clocks."""
        for watcher in self.watchers.values():
            watcher._unix_offset_s += seconds
            watcher.evidence.unix_offset_s += seconds

    async def crash(
        self,
        target: str,
        *requests: tuple[str, str, Sequence[str]],
        progress_s: float = 0.0,
        request: str = "",
    ) -> None:
        """Let a target crash under requests, each with its host and its parts.

        `request` is the id of the first one.
        """
        for fingerprint, host, parts in requests:
            run = Run(
                fingerprint=fingerprint,
                parts=parts,
                target=target,
                address=f"{target}:1",
                n_slots=N_SLOTS,
                request_id=request,
            )
            request = ""
            self.watchers[host].record_interruption(run, progress_s=progress_s)
        await asyncio.sleep(0.02)

    async def crash_full(
        self,
        target: str,
        fingerprint: str,
        parts: Sequence[str] = (),
        host: str = HOSTS[0],
        request: str = "",
    ) -> None:
        """Let a target crash under a request and others that fill it."""
        others = [
            (f"{target}-{number}", HOSTS[number % 3], ()) for number in range(N_SLOTS)
        ]
        await self.crash(target, (fingerprint, host, parts), *others, request=request)

    async def get_reasons(
        self, fingerprint: str, parts: Sequence[str] = (), request: str = ""
    ) -> list[Reason | None]:
        """Return why each host refuses a request, None if it does not."""
        refusals = []
        for watcher in self.watchers.values():
            refusals.append(watcher.get_refusal(fingerprint, parts, request))
            await asyncio.sleep(0)  # for reports to arrive
        return [refusal.reason if refusal else None for refusal in refusals]


class OtherDeploymentTest(OverloadTestCase):
    """Test targets that do not crash because of the number of their requests."""

    weighs_load = False

    async def test_three_crashes_block_a_request_at_full_targets(self) -> None:
        """Guard against more crashed targets than before the load was weighed."""
        for number in range(MAX_TRIAL_CRASHES):
            await self.crash_full(f"t-{number}@1", "crashing")
            self.pass_time(1.0)
        self.assertEqual(
            await self.get_reasons("crashing"), [Reason.CRASHES_TARGETS] * len(HOSTS)
        )


class HarmlessRequestTest(OverloadTestCase):
    """Test requests that are under way at targets that crash above their slots."""

    async def test_request_is_served_whose_targets_were_full(self) -> None:
        """Guard against blocking what runs at overloaded targets.

        In soak seed 107, 877 harmless requests were refused, as a surge crashed each
        target within 0.5 s of its start and no request ran to its end in between.
        """
        for target in "uvwxyz":
            runs = [("often", host, ("subject",)) for host in HOSTS]
            await self.crash(target, *runs, ("book", "host-1", ()))
            self.assertEqual(await self.get_reasons("often", ("subject",)), [None] * 3)
        await asyncio.sleep(1.2 * SETTLE_S)
        self.assertEqual(await self.get_reasons("often", ("subject",)), [None] * 3)
        self.assertEqual(await self.get_reasons("new", ("subject",)), [None] * 3)

    async def test_host_that_starts_later_knows_the_load(self) -> None:
        """Guard against a new host that blocks for crashes of full targets.

        In soak seed 301, a restarted host read records with the load of one host each
        and refused a harmless request.
        """
        for target in "xyz":
            await self.crash(target, *(("often", host, ()) for host in HOSTS))
            await self.crash(target, ("book", "host-1", ()))
        await asyncio.sleep(1.5 * SETTLE_S)
        # The store keeps the last record of a key.
        records = [item for stub in self.stubs for item in stub.recorded]
        for stub in self.stubs:
            records += [item for item in stub.written if isinstance(item, Crash)]
        evidence = CrashEvidence()
        for crash in {item.key: item for item in records}.values():
            evidence.add(crash, 0.0)
        self.assertFalse(evidence.blocked_fingerprints)
        self.assertEqual(evidence.weak_causes.fingerprints, {"often", "book"})

    async def test_requests_that_had_been_answered_for_a_while_count(self) -> None:
        """Guard against a full target that looks empty as its streams had begun."""
        for target in "xyz":
            await self.crash(target, ("often", "host-0", ()))
            streams = [(f"s-{number}", "host-1", ()) for number in range(N_SLOTS)]
            await self.crash(target, *streams, progress_s=0.5)
        await asyncio.sleep(1.2 * SETTLE_S)
        self.assertEqual(await self.get_reasons("often"), [None] * 3)

    async def test_requests_that_ran_lately_count(self) -> None:
        """Guard against a full target whose other requests are known as harmless."""
        for _ in range(MIN_RUNS_TO_CLEAR):
            self.watchers["host-1"].record_harmless("sound")
        for target in "xyz":
            others = [("sound", "host-1", ())] * N_SLOTS
            await self.crash(target, ("often", "host-0", ()), *others)
        await asyncio.sleep(1.2 * SETTLE_S)
        self.assertEqual(await self.get_reasons("often"), [None] * 3)

    async def test_requests_of_hosts_that_report_nothing_count(self) -> None:
        """Guard against a large fleet's hosts that see one request each."""
        self.n_known_requests = N_SLOTS
        for target in "xyz":
            await self.crash(target, ("often", "host-0", ()))
        await asyncio.sleep(1.2 * SETTLE_S)
        self.assertEqual(await self.get_reasons("often"), [None] * 3)

    async def test_crashes_that_no_trial_shows_block_nothing(self) -> None:
        """Guard against blocking a harmless request in a long surge.

        In soak seed 306, requests that had been sent before hosts suspected them, or by
        hosts that had been paused, were cut 4 s after the third crash.
        """
        for target in "uvwxyz":
            await self.crash_full(target, "often")
            await asyncio.sleep(1.2 * SETTLE_S)
            self.pass_time(GRACE_MS / 1_000)
        reasons = await self.get_reasons("often", request="r-1")
        self.assertNotIn(Reason.CRASHES_TARGETS, reasons)
        self.assertIn(None, reasons)

    async def test_hosts_without_reports_take_turns(self) -> None:
        """Guard against trials of all hosts of a large fleet at once."""
        for target in "xyz":
            await self.crash_full(target, "often")
        await asyncio.sleep(1.2 * SETTLE_S)
        self.pass_time(GRACE_MS / 1_000)
        self.are_claims_shared = False
        sent_by = set()
        for number in range(20):
            reasons = await self.get_reasons("often", request=f"r-{number}")
            self.assertLessEqual(reasons.count(None), 1)
            if None in reasons:
                sent_by.add(reasons.index(None))
            self.pass_time(FIRST_TURN_MS / 1_000)
        self.assertEqual(sent_by, {0, 1, 2})

    async def test_request_that_runs_in_its_trial_is_served_by_all(self) -> None:
        """Guard against a harmless request that hosts keep sending one at a time."""
        for target in "xyz":
            await self.crash_full(target, "often")
        await asyncio.sleep(1.2 * SETTLE_S)
        self.pass_time(GRACE_MS / 1_000)
        reasons = await self.get_reasons("often", request="r-1")
        self.assertCountEqual(reasons, [None, Reason.OVERLOADED, Reason.OVERLOADED])
        self.assertEqual(await self.get_reasons("often", request="r-1"), reasons)
        self.assertNotIn(None, await self.get_reasons("often", request="r-2"))
        self.watchers[HOSTS[reasons.index(None)]].record_harmless("often")
        await asyncio.sleep(0)
        self.assertEqual(await self.get_reasons("often", request="r-2"), [None] * 3)

    async def test_request_waits_for_the_result_of_a_trial(self) -> None:
        """Guard against refusals while a harmless request shows that it is one.

        In soak seed 111, one of eight requests after the surge was refused 0.2 s after
        another one like it had been sent.
        """
        for target in "xyz":
            await self.crash_full(target, "often")
        await asyncio.sleep(1.2 * SETTLE_S)
        self.pass_time(GRACE_MS / 1_000)
        reasons = await self.get_reasons("often", request="r-1")
        watcher = self.watchers[HOSTS[reasons.index(None)]]
        loop = asyncio.get_running_loop()
        until = loop.time() + 1.0
        tasks = [
            asyncio.create_task(
                wait_for_trial(partial(watcher.get_refusal, "often", (), "r-2"), at)
            )
            for at in (loop.time(), until)
        ]
        await asyncio.sleep(0.1)
        self.assertEqual([task.done() for task in tasks], [True, False])
        refusal = await tasks[0]
        assert refusal is not None
        self.assertIs(refusal.reason, Reason.OVERLOADED)
        watcher.record_harmless("often")
        self.assertIsNone(await tasks[1])
        self.assertLess(loop.time(), until)


class CrashingRequestTest(OverloadTestCase):
    """Test requests that crash each target that runs them."""

    async def repeat(self, fingerprint: str, parts: Sequence[str] = ()) -> None:
        """Send a request that crashes full targets to all hosts."""
        n_sent = 0
        for number in range(int(REPEATS_S / REPEAT_S)):
            name = f"{fingerprint}-{number}" if parts else fingerprint
            request = f"r-{number}"
            reasons = await self.get_reasons(name, parts, request)
            for host, reason in zip(HOSTS, reasons, strict=True):
                if reason is None:
                    n_sent += 1
                    target = f"t-{number}-{n_sent}"
                    await self.crash_full(target, name, parts, host, request)
                    await asyncio.sleep(1.2 * SETTLE_S)
                    self.assertLessEqual(n_sent, MAX_TRIAL_CRASHES)
            self.pass_time(REPEAT_S)

    async def test_request_is_blocked_although_its_targets_were_full(self) -> None:
        """Guard against a request that crashes targets for as long as they are full."""
        for target in "xyz":
            await self.crash_full(target, "dead")
        self.pass_time(GRACE_MS / 1_000)
        await self.repeat("dead")
        blocked = [Reason.CRASHES_TARGETS] * 3
        self.assertEqual(await self.get_reasons("dead"), blocked)

    async def test_request_is_blocked_beside_a_more_frequent_one(self) -> None:
        """Guard against a request whose crashes a harmless one explains."""
        for target in "uvwxyz":
            others = [("often", host, ()) for host in HOSTS]
            dead = [("dead", "host-0", ())] if target in "xyz" else []
            await self.crash(target, *others, *dead, (target, "host-1", ()))
        await asyncio.sleep(1.2 * SETTLE_S)
        self.pass_time(GRACE_MS / 1_000)
        await self.repeat("dead")
        blocked = [Reason.CRASHES_TARGETS] * 3
        self.assertEqual(await self.get_reasons("dead"), blocked)

    async def test_part_is_blocked_although_its_targets_were_full(self) -> None:
        """Guard against a part that crashes targets in ever new requests."""
        for target in "xyz":
            await self.crash_full(target, f"first-{target}", ("dead",))
            self.pass_time(1.0)
        self.pass_time(GRACE_MS / 1_000)
        await self.repeat("more", ("dead",))
        blocked = [Reason.CRASHES_TARGETS] * 3
        self.assertEqual(await self.get_reasons("new", ("dead",)), blocked)

    async def test_request_at_targets_with_free_slots_is_blocked_soon(self) -> None:
        """Guard against overload that excuses a request at idle targets."""
        for target in "xyz":
            await self.crash(target, ("dead", "host-0", ()), ("a", "host-1", ()))
        await asyncio.sleep(1.2 * SETTLE_S)
        blocked = [Reason.CRASHES_TARGETS] * 3
        self.assertEqual(await self.get_reasons("dead"), blocked)


if __name__ == "__main__":
    unittest.main()
