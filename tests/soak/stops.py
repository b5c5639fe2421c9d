"""Planned work on a fleet whose targets fall silent at times, without any failure."""

import asyncio
import contextlib
import random
import time
from dataclasses import dataclass, field
from signal import SIGHUP, SIGTERM

from standins.platform import OTHER_SERVICE
from tests.promises.fleet import HostProcess, PlatformFleet
from tests.soak.callers import Outcome

ROUTES = ("stream", "stream-again", "book", "look")
HTTP_BAD_GATEWAY = 502
MIN_TIMEOUT_S = 4.5
IDLE_TIMEOUTS_MS = (5_000, 60_000)
CHANGES: tuple[dict[str, object] | None, ...] = (
    {"timeout_ms": 1000 * MIN_TIMEOUT_S},
    {"timeout_ms": 9_000},
    {"service": OTHER_SERVICE},
    None,
)
# What ends sooner without a run may have crossed the close of its connection.
CROSSING_S = 0.2
# What is sent until then after SIGTERM may be cut in the last part of the grace time.
MAX_ACCEPT_S = 3.0
UNCUT_SHARE = 5 / 6


@dataclass(kw_only=True, slots=True)
class Stops:
    """Stop hosts, change the configuration and let targets fall silent."""

    fleet: PlatformFleet
    generator: random.Random
    ended: list[HostProcess] = field(default_factory=list)

    async def run(self, duration_s: float) -> None:
        """Go on for a time."""
        ends_at = time.monotonic() + duration_s
        hosts = [self._stop(name, ends_at) for name in sorted(self.fleet.hosts)]
        await asyncio.gather(*hosts, self._disturb(ends_at))

    async def _stop(self, name: str, ends_at: float) -> None:
        """Signal a process at any time, also as it starts, and replace it at once."""
        while time.monotonic() < ends_at:
            host = self.fleet.hosts[name]
            longest_s = self.generator.choice((0.5, 6.0))
            await asyncio.sleep(self.generator.uniform(0.0, longest_s))
            while host.process.returncode is None:
                number = self.generator.choice((SIGTERM, SIGTERM, SIGHUP))
                if number is SIGTERM:
                    host.stopped_at = min(host.stopped_at, time.monotonic())
                host.process.send_signal(number)
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(self.generator.uniform(0.1, 4.0)):
                        await host.process.wait()
            await self.fleet.kill(name)
            self.ended.append(host)
            await self.fleet.launch_host(name, caller_port=0)

    async def _disturb(self, ends_at: float) -> None:
        """Change the configuration, and let targets fall silent soon after."""
        version = 1
        while time.monotonic() < ends_at:
            version += 1
            limits = {"idle_timeout_ms": self.generator.choice(IDLE_TIMEOUTS_MS)}
            changes = {self.generator.choice(ROUTES): self.generator.choice(CHANGES)}
            await self.fleet.write_configuration(version, limits, changes)
            await asyncio.sleep(self.generator.uniform(0.0, 1.0))
            silence_s = self.generator.uniform(1.0, 1.3)
            n_silent = self.generator.randint(1, self.fleet.n_targets)
            silent = self.generator.sample(self.fleet.targets, n_silent)
            await asyncio.gather(*(target.fall_silent(silence_s) for target in silent))
            await asyncio.sleep(self.generator.uniform(0.5, 1.5))

    def list_lost(self, outcomes: list[Outcome]) -> list[str]:
        """Return the requests that a host read and cut, with a failure or without.

        No target fails, so each 502 is an answer in place of a target's.
        """
        return [
            f"{item.request} {item.path} lost: {item.status} after {taken_s:.2f} s,"
            f" sent {item.began_at - item.host.stopped_at:.2f} s after the SIGTERM"
            f" of {item.host.process.pid}"
            for item in outcomes
            if (not item.is_whole or item.status == HTTP_BAD_GATEWAY)
            and item.host is not None
            and (taken_s := item.ended_at - item.began_at) < MIN_TIMEOUT_S
            and self._is_lost(item, item.host.stopped_at, taken_s)
        ]

    def _is_lost(self, outcome: Outcome, stopped_at: float, taken_s: float) -> bool:
        runs = [r for t in self.fleet.targets for r in t.runs]
        own = [run for run in runs if run.request == outcome.request]
        may_be_cut = (
            outcome.began_at <= stopped_at + MAX_ACCEPT_S
            and outcome.ended_at >= stopped_at + UNCUT_SHARE * self.fleet.grace_s
            and not all(run.ended for run in own)
        )
        # While the callers' process stalls, a request is not sent yet.
        stalled_s = sum(
            max(0.0, min(end, outcome.ended_at) - max(start, outcome.began_at))
            for start, end in self.fleet.stalls
        )
        return not may_be_cut and (bool(own) or taken_s - stalled_s > CROSSING_S)
