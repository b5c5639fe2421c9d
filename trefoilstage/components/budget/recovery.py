"""Ask the targets what the doubtful requests of lost hosts really spent."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from mode import Service

from trefoilstage.blackboard import Blackboard
from trefoilstage.components.log_client.streams import Streams
from trefoilstage.const import SITE_ACCOUNT_PREFIX
from trefoilstage.helpers.events import Event, log_event
from trefoilstage.ledger.records import BilledRequest, Resolve
from trefoilstage.ledger.state import DoubtfulHold, DrawState, DrawStatus, LedgerState
from trefoilstage.timer import TimerService
from trefoilstage.util.hashing import rank_by_rendezvous

SCAN_S = 0.25
MAX_HOLDS = 50
Canceller = Callable[[str, str], Awaitable[int | None]]


@dataclass(kw_only=True, slots=True)
class Sighting:
    """Hold the last sequence seen of a sealed holder and since when."""

    sequence: int
    since: float


class RecoveryController(Service):
    """End the requests of a dead host at their targets and settle them."""

    def __init__(
        self,
        *,
        blackboard: Blackboard,
        streams: Streams,
        timer: TimerService,
        cancel: Canceller,
        grace_s: float,
    ) -> None:
        super().__init__()
        self._blackboard = blackboard
        self._streams = streams
        self._timer = timer
        self._cancel = cancel
        self._grace_s = grace_s
        self._sightings: dict[str, Sighting] = {}
        self._asking: dict[str, asyncio.Task[None]] = {}

    async def on_start(self) -> None:
        """Start looking for sealed draws."""
        self._unsubscribe = self._timer.subscribe(
            name="recover", interval_s=SCAN_S, callback=self._scan
        )

    async def on_stop(self) -> None:
        """Stop looking for sealed draws."""
        self._unsubscribe()
        for task in self._asking.values():
            task.cancel()

    async def _scan(self) -> None:
        holders: set[str] = set()
        for number, ledger in self._blackboard.ledgers.items():
            for name, draw in list(ledger.draws.items()):
                if draw.status is not DrawStatus.SEALED or not draw.targets:
                    continue
                holders.add(f"{number}/{draw.holder}")
                silent = self._is_silent(number, ledger, draw)
                if silent and self._is_mine(name, draw) and name not in self._asking:
                    self._start(number, name, draw)
        for holder in set(self._sightings) - holders:
            del self._sightings[holder]

    def _is_silent(self, number: int, ledger: LedgerState, draw: DrawState) -> bool:
        # A witness cut off from its holder alone seals too. The holder's own
        # records then go on, and ending its requests would cut off answers
        # that callers are still being sent.
        now = self._timer.now()
        sequence = ledger.sequences.get(draw.holder, -1)
        sighting = self._sightings.get(f"{number}/{draw.holder}")
        status = self._streams.ledgers[number].status
        current = status.reachable and status.caught_up
        if sighting is None or sighting.sequence != sequence or not current:
            self._sightings[f"{number}/{draw.holder}"] = Sighting(
                sequence=sequence, since=now
            )
            return False
        peers = self._blackboard.list_live_peers()
        live = any(entry.incarnation == draw.holder for entry in peers)
        return not live and now - sighting.since >= self._grace_s

    def _is_mine(self, name: str, draw: DrawState) -> bool:
        # Any host may ask, and asking twice is harmless; one is enough.
        live = [entry.incarnation for entry in self._blackboard.list_live_peers()]
        live.append(self._blackboard.incarnation)
        if draw.witness in live:
            return draw.witness == self._blackboard.incarnation
        return rank_by_rendezvous(name, live)[0] == self._blackboard.incarnation

    def _start(self, number: int, name: str, draw: DrawState) -> None:
        task = asyncio.create_task(self._resolve(number, name, draw))
        self._asking[name] = task
        task.add_done_callback(lambda _: self._asking.pop(name, None))

    async def _resolve(self, number: int, name: str, draw: DrawState) -> None:
        holds = [item for item in draw.doubtful.items() if item[1].targets]
        for first in range(0, len(holds), MAX_HOLDS):
            await self._resolve_part(number, name, draw, holds[first:][:MAX_HOLDS])

    async def _resolve_part(
        self,
        number: int,
        name: str,
        draw: DrawState,
        asked: list[tuple[int, DoubtfulHold]],
    ) -> None:
        answers = await asyncio.gather(*(self._ask(draw, hold) for _, hold in asked))
        returnable = draw.account.startswith(SITE_ACCOUNT_PREFIX)
        requests = tuple(
            BilledRequest(
                key=hold.key, tokens=0 if returnable else answer, number=place
            )
            for (place, hold), answer in zip(asked, answers, strict=True)
            if answer is not None
        )
        if not requests:
            return
        record = Resolve(draw=name, requests=requests)
        await self._streams.submit_ledger(number, record).future
        log_event(
            Event.DRAW_RESOLVED,
            draw=name,
            n_requests=len(requests),
            spent=sum(request.tokens for request in requests),
        )

    async def _ask(self, draw: DrawState, hold: DoubtfulHold) -> int | None:
        """Return what every target together spent, None while one is silent."""
        calls = [
            self._cancel(draw.targets[place], hold.request) for place in hold.targets
        ]
        total = 0
        for answer in await asyncio.gather(*calls):
            if answer is None:
                return None
            total += answer
        return total
