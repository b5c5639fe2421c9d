"""Ask targets when they started, where nothing else tells which start answered."""

import asyncio
from typing import Protocol

from trefoilstage.components.forwarding.models import TargetEntry
from trefoilstage.fleet_board import FleetBoard
from trefoilstage.helpers.events import Event, log_event

# A target reports within a few milliseconds, without a slot.
REPORT_TIMEOUT_S = 0.4
# A target that did not confirm its start is not asked again sooner.
ASK_AGAIN_AFTER_S = 1.0


class StartReader(Protocol):
    """Read when a target started."""

    async def read_start(self, target: TargetEntry) -> int | None:
        """Return a target's start in Unix ms, None if it doesn't say."""


class StartProbe(StartReader, Protocol):
    """Ask targets themselves when they started."""

    async def is_answering(self, target: TargetEntry) -> bool:
        """Return whether the start that an entry names answers a new connection."""


class StartProver:
    """Prove which start of a target a connection leads to."""

    def __init__(self, *, board: FleetBoard, probe: StartReader) -> None:
        self._board = board
        self._probe = probe
        self._asked_at: dict[str, float] = {}  # by incarnation
        self._asking: dict[str, asyncio.Task[None]] = {}

    def is_proven(self, target: TargetEntry, connected_at: float) -> bool:
        """Return whether a connection leads to the start that an entry names."""
        return self._board.targets.is_start_proven(target, connected_at)

    async def prove(self, target: TargetEntry, connected_at: float) -> bool:
        """Return whether a connection leads to that start; ask the target if need be.

        All that wait for the same target share a question.
        """
        if self.is_proven(target, connected_at):
            return True
        incarnation = target.incarnation
        if self._board.targets.find_incarnation(incarnation) is None:
            return False
        task = self._asking.get(incarnation)
        if task is None:
            now = asyncio.get_running_loop().time()
            asked_at = self._asked_at.get(incarnation, float("-inf"))
            if now - asked_at < ASK_AGAIN_AFTER_S:
                return False
            self._forget_unlisted()
            self._asked_at[incarnation] = now
            task = asyncio.create_task(self._ask(target, now))
            self._asking[incarnation] = task
            task.add_done_callback(lambda _: self._asking.pop(incarnation, None))
        await asyncio.shield(task)
        return self.is_proven(target, connected_at)

    async def _ask(self, target: TargetEntry, asked_at: float) -> None:
        try:
            async with asyncio.timeout(REPORT_TIMEOUT_S):
                started_ms = await self._probe.read_start(target)
        except TimeoutError:
            started_ms = None
        if started_ms == target.started_ms:
            self._asked_at.pop(target.incarnation, None)
            self._board.targets.proofs.record_start(target, asked_at)
            return
        if started_ms is not None:
            self._board.targets.proofs.record_other_start(target)
        log_event(
            Event.TARGET_START_UNPROVEN,
            target=target.incarnation,
            version=target.version,
            started_ms=started_ms,
        )

    def _forget_unlisted(self) -> None:
        listed = self._board.targets.list_incarnations()
        for incarnation in self._asked_at.keys() - listed:
            del self._asked_at[incarnation]
