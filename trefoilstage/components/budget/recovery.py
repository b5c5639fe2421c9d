"""Ask the targets what the doubtful requests of lost hosts spent.

A request is doubtful if its hold was open when its draw was sealed.
"""

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

SCAN_INTERVAL_S = 0.25
MAX_HOLDS_PER_RECORD = 50
Canceller = Callable[[str, str], Awaitable[int | None]]


@dataclass(kw_only=True, slots=True)
class Sighting:
    """Describe a holder's latest sequence number and since when it is unchanged."""

    sequence: int
    since: float


class RecoveryController(Service):
    """End the requests of a lost host at their targets and settle them."""

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
        """Start scanning for sealed draws."""
        self._unsubscribe = self._timer.subscribe(
            name="recover", interval_s=SCAN_INTERVAL_S, callback=self._scan
        )

    async def on_stop(self) -> None:
        """Stop scanning for sealed draws."""
        self._unsubscribe()
        for task in self._asking.values():
            task.cancel()

    async def _scan(self) -> None:
        holders: set[str] = set()
        for ledger_number, ledger in self._blackboard.ledgers.items():
            for name, draw in list(ledger.draws.items()):
                if draw.status is not DrawStatus.SEALED or not draw.targets:
                    continue
                holders.add(f"{ledger_number}/{draw.holder}")
                is_lost = self._is_holder_lost(ledger_number, ledger, draw)
                if (
                    is_lost
                    and self._is_responsible(name, draw)
                    and name not in self._asking
                ):
                    self._start_resolving(ledger_number, name, draw)
        for holder in set(self._sightings) - holders:
            del self._sightings[holder]

    def _is_holder_lost(
        self, ledger_number: int, ledger: LedgerState, draw: DrawState
    ) -> bool:
        # A witness that lost contact with the holder alone seals the draw too. The
        # holder then keeps writing records, and ending its requests would cut off
        # answers that callers are still receiving.
        now = self._timer.now()
        sequence = ledger.sequences.get(draw.holder, -1)
        sighting = self._sightings.get(f"{ledger_number}/{draw.holder}")
        status = self._streams.ledgers[ledger_number].status
        is_current = status.reachable and status.caught_up
        if sighting is None or sighting.sequence != sequence or not is_current:
            self._sightings[f"{ledger_number}/{draw.holder}"] = Sighting(
                sequence=sequence, since=now
            )
            return False
        peers = self._blackboard.list_live_peers()
        is_live = any(entry.incarnation == draw.holder for entry in peers)
        return not is_live and now - sighting.since >= self._grace_s

    def _is_responsible(self, name: str, draw: DrawState) -> bool:
        # It is enough that one host asks the targets; if two do, it is harmless.
        live = [entry.incarnation for entry in self._blackboard.list_live_peers()]
        live.append(self._blackboard.incarnation)
        if draw.witness in live:
            return draw.witness == self._blackboard.incarnation
        return rank_by_rendezvous(name, live)[0] == self._blackboard.incarnation

    def _start_resolving(self, ledger_number: int, name: str, draw: DrawState) -> None:
        task = asyncio.create_task(self._resolve(ledger_number, name, draw))
        self._asking[name] = task
        task.add_done_callback(lambda _: self._asking.pop(name, None))

    async def _resolve(self, ledger_number: int, name: str, draw: DrawState) -> None:
        holds = [item for item in draw.doubtful.items() if item[1].targets]
        for start in range(0, len(holds), MAX_HOLDS_PER_RECORD):
            await self._resolve_batch(
                ledger_number, name, draw, holds[start:][:MAX_HOLDS_PER_RECORD]
            )

    async def _resolve_batch(
        self,
        ledger_number: int,
        name: str,
        draw: DrawState,
        holds: list[tuple[int, DoubtfulHold]],
    ) -> None:
        spent_amounts = await asyncio.gather(
            *(self._cancel_at_targets(draw, hold) for _, hold in holds)
        )
        returnable = draw.account.startswith(SITE_ACCOUNT_PREFIX)
        requests = tuple(
            BilledRequest(
                key=hold.key, tokens=0 if returnable else spent, number=hold_number
            )
            for (hold_number, hold), spent in zip(holds, spent_amounts, strict=True)
            if spent is not None
        )
        if not requests:
            return
        record = Resolve(draw=name, requests=requests)
        await self._streams.submit_ledger(ledger_number, record).future
        log_event(
            Event.DRAW_RESOLVED,
            draw=name,
            n_requests=len(requests),
            spent=sum(request.tokens for request in requests),
        )

    async def _cancel_at_targets(
        self, draw: DrawState, hold: DoubtfulHold
    ) -> int | None:
        """Return what all targets spent, or None while one reports no final amount."""
        calls = [
            self._cancel(draw.targets[index], hold.request) for index in hold.targets
        ]
        total = 0
        for spent in await asyncio.gather(*calls):
            if spent is None:
                return None
            total += spent
        return total
