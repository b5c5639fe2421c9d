"""Vouch for what other hosts' draws may spend, and seal those of lost hosts."""

from dataclasses import dataclass, field

from mode import Service

from trefoilstage.blackboard import Blackboard
from trefoilstage.components.log_client.streams import Streams
from trefoilstage.components.peers.messages import Bound, BoundReply, PeerMessage
from trefoilstage.components.peers.server import PeerServer
from trefoilstage.helpers.events import Event, log_event
from trefoilstage.ledger.records import BilledRequest, Seal
from trefoilstage.ledger.state import DrawState, DrawStatus
from trefoilstage.timer import TimerService

SCAN_S = 0.25


@dataclass(kw_only=True, slots=True)
class WitnessedDraw:
    """Hold what this host allowed for one draw of a peer."""

    sequence: int = 0
    level: int = 0
    sealed: bool = False
    open_requests: dict[str, int] = field(default_factory=dict)


class WitnessController(Service):  # type: ignore[misc]
    """Allow bounds while a holder lives; seal its draws when it is lost."""

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
        self._suspect_after_s = suspect_after_s
        self._draws: dict[str, WitnessedDraw] = {}
        self._first_seen_lost: dict[str, float] = {}
        server.register(Bound, self._answer_bound)

    async def on_start(self) -> None:
        """Start looking for lost holders."""
        self._unsubscribe = self._timer.subscribe(
            name="seal", interval_s=SCAN_S, callback=self._seal_lost_holders
        )

    async def on_stop(self) -> None:
        """Stop looking for lost holders."""
        self._unsubscribe()

    async def _answer_bound(self, message: Bound) -> PeerMessage:
        draw = self._draws.setdefault(message.draw, WitnessedDraw())
        # Once sealed here, nothing more may be allowed: the seal on the log
        # counts exactly the level below, and the rest is granted to others.
        if draw.sealed:
            return BoundReply(allowed=False)
        if message.sequence <= draw.sequence:
            return BoundReply(allowed=message.sequence == draw.sequence)
        draw.sequence = message.sequence
        draw.level = message.level
        for request in message.opened:
            draw.open_requests[request.key] = request.tokens
        for key in message.closed:
            draw.open_requests.pop(key, None)
        return BoundReply(allowed=True)

    async def _seal_lost_holders(self) -> None:
        live = self._list_live_incarnations()
        known: set[str] = set()
        for number, ledger in self._blackboard.ledgers.items():
            for name, draw in list(ledger.draws.items()):
                known.add(name)
                if self._is_lost(draw, live):
                    self._seal(number, name)
        for name in set(self._draws) - known:
            if self._draws[name].sealed:
                del self._draws[name]

    def _list_live_incarnations(self) -> set[str]:
        return {entry.incarnation for entry in self._blackboard.list_live_peers()}

    def _is_lost(self, draw: DrawState, live: set[str]) -> bool:
        mine = draw.witness == self._blackboard.incarnation
        if not mine or draw.status is not DrawStatus.OPEN:
            return False
        if draw.holder in live:
            self._first_seen_lost.pop(draw.holder, None)
            return False
        now = self._timer.now()
        since = self._first_seen_lost.setdefault(draw.holder, now)
        return now - since >= self._suspect_after_s

    def _seal(self, number: int, name: str) -> None:
        draw = self._draws.setdefault(name, WitnessedDraw())
        if draw.sealed:
            return
        draw.sealed = True
        requests = tuple(
            BilledRequest(key=key, tokens=tokens)
            for key, tokens in draw.open_requests.items()
        )
        self._streams.submit_ledger(
            number, Seal(draw=name, bound=draw.level, requests=requests)
        )
        log_event(Event.DRAW_SEALED, draw=name, bound=draw.level)
