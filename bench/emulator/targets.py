"""Create a day's engines and services, and register them in the store."""

import asyncio
import random
from typing import TypeVar

from bench.emulator.engine import EmulatedEngine, EngineSpeed, sample_duration_factor
from bench.emulator.network import SharedStore
from bench.emulator.scenario import Scenario
from bench.emulator.sender import EmulatedService
from trefoilstage.components.forwarding.models import TargetEntry, TargetPhase
from trefoilstage.components.views.store import Topic

ASSISTANT = "assistant"
BOOKING = "booking"
DATA_CENTERS = ("brest", "quimper", "lorient")
HEARTBEAT_S = 1.2
BYTES_PER_MEGABIT = 125_000

EmulatedTarget = EmulatedEngine | EmulatedService
ItemT = TypeVar("ItemT")


class EmulatedTargets:
    """Hold the engines and services of a day."""

    def __init__(
        self,
        *,
        scenario: Scenario,
        generator: random.Random,
        shared_store: SharedStore,
        entries: dict[bytes, TargetEntry],
    ) -> None:
        self._scenario = scenario
        self._generator = generator
        self._shared_store = shared_store
        self._entries = entries
        engines, services = scenario.engines, scenario.services
        speed = EngineSpeed(
            kv_tokens=engines.kv_tokens,
            slots=engines.slots,
            kv_bytes_per_token=engines.kv_bytes,
            transfer_bytes_per_s=BYTES_PER_MEGABIT * engines.link_mbps,
        )
        self.engines = [
            EmulatedEngine(
                name=f"engine-{number}",
                speed=speed,
                duration_factor=sample_duration_factor(generator),
            )
            for number in range(engines.n)
        ]
        for number, engine in enumerate(self.engines):
            engine.version = f"v{number % engines.n_versions + 1}"
        self.services = [
            EmulatedService(
                name=f"service-{number}",
                slots=services.slots,
                work_s=services.work_s,
                generator=generator,
            )
            for number in range(services.n)
        ]
        targets: list[EmulatedTarget] = [*self.engines, *self.services]
        self.by_name = {item.name: item for item in targets}

    async def register_all(self) -> None:
        """Register all targets again and again."""
        sequence = 0
        while True:
            sequence += 1
            for target in self.by_name.values():
                await self.register(target, sequence)
            await asyncio.sleep(HEARTBEAT_S)

    async def register(self, target: EmulatedTarget, sequence: int) -> None:
        """Write a target's entry to the store, or remove it while it is down."""
        if target.is_down:
            await self._shared_store.store.put(Topic.TARGETS, target.name, None)
            return
        is_engine = isinstance(target, EmulatedEngine)
        cold_s = target.get_cold_s() if isinstance(target, EmulatedEngine) else 0.0
        version = target.version if isinstance(target, EmulatedEngine) else "v1"
        start = f"{target.name} {target.started_ms} {version}"
        data = f"{start} {sequence} {cold_s}".encode()
        self._entries[data] = TargetEntry(
            name=target.name,
            service=ASSISTANT if is_engine else BOOKING,
            address=target.name,
            data_center=get_data_center(int(target.name.rpartition("-")[2]))
            if is_engine
            else DATA_CENTERS[0],
            slots=self._scenario.engines.slots,
            phase=TargetPhase.READY,
            version=version,
            started_ms=target.started_ms,
            cold_s=cold_s,
        )
        await self._shared_store.store.put(Topic.TARGETS, target.name, data)
        self._shared_store.notify_change(Topic.TARGETS)

    def turn_cold(self, engine: EmulatedEngine) -> None:
        """Make an engine cold for its cold time."""
        now = asyncio.get_running_loop().time()
        engine.cold_until = now + self._scenario.engines.cold_s

    def sample_engines(self, share: float) -> list[EmulatedEngine]:
        """Return a random share of the engines, at least one."""
        return sample_share(self._generator, self.engines, share)

    def sample(self, share: float) -> list[EmulatedTarget]:
        """Return a random share of the engines and of the services."""
        services = sample_share(self._generator, self.services, share)
        return [*self.sample_engines(share), *services]


def sample_share(
    generator: random.Random, items: list[ItemT], share: float
) -> list[ItemT]:
    """Return a random share of items, at least one."""
    return generator.sample(items, max(1, round(share * len(items))))


def get_data_center(number: int) -> str:
    """Return the data centre of an engine by its number."""
    return DATA_CENTERS[number % len(DATA_CENTERS)]
