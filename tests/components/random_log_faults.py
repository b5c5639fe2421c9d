"""Inject random faults into hosts on a log with a short retention.

Run as a script with a range of seeds, this module prints the failures of each seed.
"""

import asyncio
import random
import sys
from collections.abc import Callable
from dataclasses import dataclass, field

from bench.emulator.clock import run_in_virtual_time
from tests.components.faulty_log import Faults
from tests.components.log_faults import SYNC_TIMEOUT_S, Cluster, Host
from trefoilstage.components.operators.server import VERDICT_TIMEOUT_S
from trefoilstage.helpers.verdict import ACCEPTED, Verdict

FAULT_PHASE_S = 20.0
MAX_STEP_S = 1.2
DURATIONS_S = (0.3, 1.0, 3.0, 6.0)
DELAYS_S = (0.3, 1.0, 4.0, 9.0, 15.0)
RESTART_DELAYS_S = (0.1, 2.0, 6.0)
FINAL_CHANGE = 900
# If two hosts are replaced after the log has dropped a record, the stream is blocked:
# they may have been the only hosts that acted on the record.
MAX_KILLS = 1


@dataclass(frozen=True, kw_only=True, slots=True)
class PublishedChange:
    """Describe a published change and the host that received it."""

    number: int
    host: Host
    future: asyncio.Future[Verdict]


@dataclass(kw_only=True)
class FaultRun:
    """Inject the faults of one seed into a cluster."""

    cluster: Cluster
    generator: random.Random
    changes: list[PublishedChange] = field(default_factory=list)
    fault_ends: list[tuple[float, Callable[[], object]]] = field(default_factory=list)

    async def run(self) -> list[str]:
        """Return the failures that a caller or operator would observe."""
        cluster = self.cluster
        await cluster.wait_until_in_sync()
        cluster.log.n_kept = self.generator.choice((1, 1, 1, 2, 5))
        until = cluster.now() + FAULT_PHASE_S
        while cluster.now() < until:
            await asyncio.sleep(self.generator.uniform(0.02, MAX_STEP_S))
            self._end_faults(cluster.now())
            self._take_step()
        self._end_faults(float("inf"))
        await asyncio.sleep(0)
        cluster.heal()
        return await self._check()

    def _end_faults(self, now: float) -> None:
        for fault_end in [item for item in self.fault_ends if item[0] <= now]:
            self.fault_ends.remove(fault_end)
            fault_end[1]()

    def _take_step(self) -> None:
        generator, cluster = self.generator, self.cluster
        name = generator.choice(sorted(cluster.hosts))
        if generator.random() < 0.4:
            number = len(self.changes)
            future = cluster.submit(name, number)
            host = cluster.hosts[name]
            self.changes.append(
                PublishedChange(number=number, host=host, future=future)
            )
        elif generator.random() < 0.15:
            self._restart_host(name)
        else:
            self._inject_fault(name)

    def _restart_host(self, name: str) -> None:
        cluster = self.cluster
        if len(cluster.stopped_hosts) >= MAX_KILLS:
            return
        cluster.spawn(cluster.kill(name))
        at = cluster.now() + self.generator.choice(RESTART_DELAYS_S)
        self.fault_ends.append((at, lambda: cluster.spawn(cluster.start(name))))

    def _inject_fault(self, name: str) -> None:
        generator, cluster = self.generator, self.cluster
        faults = cluster.hosts[name].faults
        at = cluster.now() + generator.choice(DURATIONS_S)
        kind = generator.choice(
            ("cut", "frozen", "hold_reads", "lost_request_share", "lost_response_share")
            + ("late_response_share", "late_appends_s", "down", "disconnected")
        )
        if kind == "down":
            cluster.log.down = True
            self.fault_ends.append((at, lambda: setattr(cluster.log, "down", False)))
            return
        if kind == "disconnected":
            peer = generator.choice([item for item in cluster.names if item != name])
            cluster.disconnect(name, peer)
            self.fault_ends.append((at, cluster.disconnected.clear))
            return
        faults.late_s = generator.choice(DELAYS_S)
        value = {"late_appends_s": faults.late_s, "lost_request_share": 0.5}.get(
            kind, True
        )
        setattr(faults, kind, value)
        self.fault_ends.append(
            (at, lambda: setattr(faults, kind, getattr(Faults(), kind)))
        )

    async def _check(self) -> list[str]:
        cluster, failures = self.cluster, []
        last = cluster.submit(cluster.names[0], FINAL_CHANGE)
        done, _ = await asyncio.wait([last], timeout=VERDICT_TIMEOUT_S)
        if not done or last.result() != ACCEPTED:
            failures.append("no verdict within an operator's wait")
        live_changes = [item for item in self.changes if not item.host.is_dead]
        if live_changes:
            futures = [item.future for item in live_changes]
            await asyncio.wait(futures, timeout=SYNC_TIMEOUT_S)
        try:
            await cluster.wait_until_in_sync()
        except TimeoutError:
            return [*failures, "hosts did not reach the same offset"]
        for item in live_changes:
            if not item.future.done() or item.future.result() != ACCEPTED:
                failures.append(f"change {item.number} got no verdict or was rejected")
        failures += [
            f"state differs at {item}" for item in cluster.find_divergence(live=True)
        ]
        failures += [f"change {number} reverted" for number in self._list_reverted()]
        return failures

    def _list_reverted(self) -> list[int]:
        accepted = [
            item.number
            for item in self.changes
            if item.future.done()
            and not item.future.cancelled()
            and item.future.result() == ACCEPTED
        ]
        files = [host.board.config.files for host in self.cluster.hosts.values()]
        return [
            number
            for number in accepted
            if any(f"{number:03d}-a.toml" not in names for names in files)
        ]


async def run_seed(seed: int) -> list[str]:
    """Return the failures under a seed's faults."""
    generator = random.Random(seed)
    async with Cluster(
        names=tuple("abcd"[: generator.choice((3, 3, 4))]),
        seed=seed,
        checkpoint_s=generator.choice((3.0, 3600.0)),
    ) as cluster:
        return await FaultRun(cluster=cluster, generator=generator).run()


def main() -> None:
    """Run a range of seeds and print the failures of each."""
    first, last = map(int, sys.argv[1:3])
    n_failed = 0
    for seed in range(first, last):
        failures = run_in_virtual_time(run_seed(seed))
        n_failed += bool(failures)
        for text in failures:
            sys.stdout.write(f"seed={seed} {text}\n")
    sys.stdout.write(f"seeds={last - first} failed={n_failed}\n")


if __name__ == "__main__":
    main()
