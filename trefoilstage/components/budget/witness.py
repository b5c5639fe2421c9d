"""Witness the draws of peer hosts, and seal those of lost hosts."""

from mode import Service

from trefoilstage.blackboard import Blackboard
from trefoilstage.components.budget.messages import Bound
from trefoilstage.components.budget.witness_table import (
    UNKNOWN_DRAW_REPLY,
    WitnessTable,
)
from trefoilstage.components.log_client.streams import Streams
from trefoilstage.components.peers.messages import PeerMessage
from trefoilstage.components.peers.server import PeerServer
from trefoilstage.helpers.events import Event, log_event
from trefoilstage.ledger.state import DrawState, DrawStatus
from trefoilstage.timer import TimerService

SCAN_INTERVAL_S = 0.25
SEAL_DELAY_DIVISOR = 3


class WitnessController(Service):
    """Allow bounds while a holder is alive; seal its draws when it is lost."""

    def __init__(
        self,
        *,
        blackboard: Blackboard,
        streams: Streams,
        server: PeerServer,
        timer: TimerService,
        suspect_after_s: float,
    ) -> None:
        super().__init__()
        self._blackboard = blackboard
        self._streams = streams
        self._timer = timer
        # Membership reports a peer as lost only after the whole suspect time. This
        # extra delay prevents a seal when one more heartbeat is lost just then.
        self._seal_after_s = suspect_after_s / SEAL_DELAY_DIVISOR
        self._table = WitnessTable(incarnation=blackboard.incarnation)
        self._first_seen_lost: dict[str, float] = {}
        server.register(Bound, self._handle_bound)

    async def on_start(self) -> None:
        """Start scanning for lost holders."""
        self._unsubscribe = self._timer.subscribe(
            name="seal", interval_s=SCAN_INTERVAL_S, callback=self._seal_lost_holders
        )

    async def on_stop(self) -> None:
        """Stop scanning for lost holders."""
        self._unsubscribe()

    async def _handle_bound(self, message: Bound) -> PeerMessage:
        ledger = self._blackboard.ledgers.get(message.stream)
        if ledger is None:
            return UNKNOWN_DRAW_REPLY
        return self._table.answer(message, ledger.draws.get(message.draw))

    async def _seal_lost_holders(self) -> None:
        live = {entry.incarnation for entry in self._blackboard.list_live_peers()}
        witnessed: set[str] = set()
        holders: set[str] = set()
        for ledger_number, ledger in self._blackboard.ledgers.items():
            for name, draw in list(ledger.draws.items()):
                if draw.witness != self._blackboard.incarnation:
                    continue
                witnessed.add(name)
                holders.add(draw.holder)
                if draw.status is DrawStatus.OPEN and self._is_lost(draw.holder, live):
                    self._seal(ledger_number, name, draw)
        self._table.forget_closed(witnessed)
        for holder in set(self._first_seen_lost) - holders:
            del self._first_seen_lost[holder]

    def _is_lost(self, holder: str, live: set[str]) -> bool:
        if holder in live:
            self._first_seen_lost.pop(holder, None)
            return False
        now = self._timer.now()
        since = self._first_seen_lost.setdefault(holder, now)
        return now - since >= self._seal_after_s

    def _seal(self, ledger_number: int, name: str, draw: DrawState) -> None:
        record = self._table.seal(name, draw)
        if record is None:
            return
        self._streams.submit_ledger(ledger_number, record)
        log_event(
            Event.DRAW_SEALED,
            draw=name,
            spent=record.spent,
            doubtful=sum(request.tokens for request in record.opened),
        )
