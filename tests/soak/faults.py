"""Inject random faults into a fleet from outside its processes."""

import asyncio
import random
import signal
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

from standins.proxy import FaultRule
from tests.promises.fleet import PlatformFleet

N_HARMS = 5
HARMS = (
    "break_after",
    "break_after",
    "refuse",
    "fail",
    "event_interval_s",
    "unframed_reset",
)
Fault = Callable[[], Awaitable[None]]


@dataclass(kw_only=True, slots=True)
class Faults:
    """Choose faults by a seed, and undo each after a while."""

    fleet: PlatformFleet
    generator: random.Random
    version: int = 1
    log: list[str] = field(default_factory=list)
    # Hosts that a fault has stopped, or is about to; others must not end.
    stopped: set[str] = field(default_factory=set)

    async def run(self, duration_s: float) -> None:
        """Inject faults in series, some of them while others last."""
        loop = asyncio.get_running_loop()
        ends = loop.time() + duration_s
        tasks: list[asyncio.Task[None]] = []
        while loop.time() < ends:
            tasks.append(asyncio.create_task(self._inject()))
            await asyncio.sleep(self.generator.uniform(0.2, 1.2))
        await asyncio.gather(*tasks)

    async def _inject(self) -> None:
        faults: list[Fault] = [
            self._kill,
            self._terminate,
            self._pause,
            self._cut_from_store,
            self._lose_store_answers,
            self._slow_store,
            self._lose_store,
            # Targets fail more often than hosts; most of what is sent twice by
            # mistake is sent after that.
            *[self._harm_target] * N_HARMS,
            self._drain_target,
            self._top_up,
        ]
        fault = self.generator.choice(faults)
        self.log.append(getattr(fault, "__name__", ""))
        await fault()

    def _pick_host(self) -> str | None:
        """Return a host that no other fault has stopped, and reserve it."""
        names = sorted(self.fleet.hosts.keys() - self.stopped)
        if not names:
            return None
        name = self.generator.choice(names)
        self.stopped.add(name)
        return name

    async def _wait(self, longest_s: float) -> None:
        await asyncio.sleep(self.generator.uniform(0.1, longest_s))

    async def _kill(self) -> None:
        name = self._pick_host()
        if name is not None:
            await self.fleet.kill(name)
            await self._wait(1.0)
            await self._restart(name)

    async def _terminate(self) -> None:
        name = self._pick_host()
        if name is None:
            return
        host = self.fleet.hosts[name]
        host.process.send_signal(signal.SIGTERM)
        # Callers go on with it until the process is gone.
        await host.process.wait()
        await self.fleet.kill(name)
        await self._restart(name)

    async def _restart(self, name: str) -> None:
        await self.fleet.start_host(name)
        self.stopped.discard(name)

    async def _pause(self) -> None:
        name = self._pick_host()
        if name is not None:
            host = self.fleet.hosts[name]
            host.process.send_signal(signal.SIGSTOP)
            await self._wait(2.0)
            host.process.send_signal(signal.SIGCONT)
            self.stopped.discard(name)

    async def _apply(self, rule: FaultRule, longest_s: float) -> None:
        proxy = self.fleet.proxies[self.generator.choice(sorted(self.fleet.proxies))]
        proxy.rules["127.0.0.1"] = rule
        await self._wait(longest_s)
        proxy.heal()

    async def _cut_from_store(self) -> None:
        one_way = self.generator.random() < 0.5
        await self._apply(FaultRule(hold_answers=True, hold_requests=not one_way), 3.0)

    async def _lose_store_answers(self) -> None:
        await self._apply(FaultRule(lose_answers=self.generator.randrange(1, 6)), 1.0)

    async def _slow_store(self) -> None:
        await self._apply(FaultRule(delay_s=self.generator.uniform(0.05, 0.5)), 2.0)

    async def _lose_store(self) -> None:
        doors = [host.store_server for host in self.fleet.hosts.values()]
        for door in doors:
            door.is_refusing = True
        await self._wait(3.0)
        for door in doors:
            door.is_refusing = False

    async def _harm_target(self) -> None:
        target = self.generator.choice(self.fleet.targets)
        harm = self.generator.choice(HARMS)
        value = {"break_after": 2, "event_interval_s": 0.3}.get(harm, True)
        usual = getattr(target, harm)
        setattr(target, harm, value)
        await self._wait(2.0)
        setattr(target, harm, None if harm == "break_after" else type(usual)(0))

    async def _drain_target(self) -> None:
        number = self.generator.randrange(self.fleet.n_targets)
        await self.fleet.write_target(number, state="draining")
        await self._wait(2.0)
        await self.fleet.write_target(number)

    async def _top_up(self) -> None:
        self.version += 1
        self.fleet.prepaid += self.generator.randrange(500, 3_000)
        await self.fleet.write_configuration(self.version)
