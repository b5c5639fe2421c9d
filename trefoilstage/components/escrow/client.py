"""Get tokens held for this host's requests, and settle them."""

import asyncio
import itertools
import random
from collections import defaultdict
from dataclasses import dataclass

from mode import Service

from trefoilstage.components.escrow.grants import GrantBook
from trefoilstage.components.escrow.home import EscrowHome
from trefoilstage.components.escrow.messages import (
    HoldReply,
    HoldTokens,
    SettledHold,
    SettleHolds,
)
from trefoilstage.components.escrow.patience import Patience
from trefoilstage.components.escrow.ranking import HomeRanking
from trefoilstage.components.escrow.returns import (
    estimate_return,
    make_refusal,
    spread_return,
)
from trefoilstage.components.fleet.membership import FleetMembership
from trefoilstage.components.peers.links import PeerLinks
from trefoilstage.exceptions import PeerUnavailableError
from trefoilstage.fleet_board import FleetBoard, PeerState
from trefoilstage.helpers.events import Event, log_event
from trefoilstage.helpers.verdict import Reason, Refusal
from trefoilstage.timer import TimerService

FLUSH_S = 0.05
# The home's own wait for a draw is 1 s.
HOLD_TIMEOUT_S = 1.1
SETTLE_TIMEOUT_S = 1.0
# Settlements that the home did not take are kept this many; past it the oldest
# are dropped, and their holds count as spent in full.
MAX_UNSETTLED = 5_000


@dataclass(frozen=True, kw_only=True, slots=True)
class Hold:
    """Name who holds tokens for a request; without a home nothing is held."""

    workspace: str
    request: str
    tokens: int
    home: str = ""
    incarnation: str = ""


@dataclass(frozen=True, kw_only=True, slots=True)
class HoldRefused:
    """Tell why no home holds tokens, and when the home may use its locked ones."""

    reason: Reason
    lock_wait_s: float = 0.0


UNCONFIRMED = HoldRefused(reason=Reason.BUDGET_UNCONFIRMED)


class EscrowClient(Service):
    """Ask the home of a workspace to hold and settle tokens."""

    def __init__(
        self,
        *,
        board: FleetBoard,
        membership: FleetMembership,
        home: EscrowHome,
        links: PeerLinks,
        timer: TimerService,
        book: GrantBook,
        ranking: HomeRanking,
        generator: random.Random,
    ) -> None:
        super().__init__()
        self._ranking = ranking
        self._generator = generator
        self._book = book
        self._board = board
        self._membership = membership
        self._home = home
        self._links = links
        self._timer = timer
        self._unsettled: dict[tuple[str, str], list[SettledHold]] = defaultdict(list)

    async def on_start(self) -> None:
        """Start to pass settlements on."""
        self._unsubscribe = self._timer.subscribe(
            name="settlements", interval_s=FLUSH_S, callback=self._flush
        )

    async def on_stop(self) -> None:
        """Stop passing settlements on."""
        self._unsubscribe()

    async def hold(
        self, workspace: str, request: str, tokens: int, patience: Patience
    ) -> Hold | Refusal:
        """Return a hold for a request, or why it is refused.

        While the store is out of reach and the stock is used up, the request waits
        for as long as that can help it.
        """
        if not self._is_prepaid(workspace) or tokens == 0:
            return Hold(workspace=workspace, request=request, tokens=0)
        for n_try in itertools.count():
            # What was refused may have been settled under its name already.
            name = f"{request}/{n_try}"
            answer = await self._ask_homes(workspace, name, tokens, repeat=n_try > 0)
            if isinstance(answer, Hold):
                return answer
            wait_s = self._plan_wait(answer, patience)
            if wait_s is None:
                return self._refuse(answer, patience)
            await asyncio.sleep(wait_s)
        raise AssertionError("unreachable")

    async def _ask_homes(
        self, workspace: str, request: str, tokens: int, *, repeat: bool
    ) -> Hold | HoldRefused:
        first: HoldRefused | None = None
        for home in self._ranking.list_homes(workspace):
            answer = await self._ask(home, workspace, request, tokens, repeat=repeat)
            if isinstance(answer, Hold):
                return answer
            # The home knows most of the account; the others may still hold tokens.
            first = first or answer
        return first or HoldRefused(reason=Reason.BUDGET_UNCONFIRMED)

    def _plan_wait(self, refused: HoldRefused, patience: Patience) -> float | None:
        if refused.reason is not Reason.BUDGET_UNCONFIRMED:
            return None
        now = self._timer.now()
        return patience.plan_wait(
            now,
            lock_wait_s=refused.lock_wait_s,
            return_s=estimate_return(self._board.store.get_silence(now)),
        )

    def _refuse(self, refused: HoldRefused, patience: Patience) -> Refusal:
        now = self._timer.now()
        return_s = estimate_return(self._board.store.get_silence(now))
        return_s = spread_return(return_s, patience, now, self._generator)
        return make_refusal(refused.reason, return_s)

    def settle(self, hold: Hold, spent: int) -> None:
        """Count what a request spent of its hold."""
        if not hold.home:
            return
        spent = min(spent, hold.tokens)
        self._book.settle(hold.incarnation, hold.workspace, hold.tokens, spent)
        item = SettledHold(
            workspace=hold.workspace,
            request=hold.request,
            spent=spent,
        )
        if hold.home == self._board.host:
            self._home.settle((item,))
        else:
            self._unsettled[hold.home, hold.incarnation].append(item)

    async def flush(self) -> None:
        """Pass on what is not settled yet."""
        await self._flush()

    def _is_prepaid(self, workspace: str) -> bool:
        configuration = self._board.configuration
        config = configuration and configuration.workspaces.get(workspace)
        return bool(config and config.prepaid_tokens is not None)

    async def _ask(
        self, home: str, workspace: str, request: str, tokens: int, *, repeat: bool
    ) -> Hold | HoldRefused:
        message = HoldTokens(
            workspace=workspace,
            request=request,
            tokens=tokens,
            requester=self._board.incarnation,
            repeat=repeat,
        )
        peer = self._board.peers.get(home)
        if home == self._board.host:
            incarnation = self._board.incarnation
            refused = await self._hold_here(message)
        elif peer is None:
            # It left while another home was asked.
            return UNCONFIRMED
        else:
            incarnation = peer.incarnation
            refused = await self._hold_there(peer, message)
        if refused is not None:
            return refused
        if not self._book.accept(incarnation, workspace, tokens):
            # The home was taken for ended while its answer was on its way.
            return UNCONFIRMED
        return Hold(
            workspace=workspace,
            request=request,
            tokens=tokens,
            home=home,
            incarnation=incarnation,
        )

    async def _hold_here(self, message: HoldTokens) -> HoldRefused | None:
        try:
            reason = await self._home.hold(
                message.workspace,
                message.request,
                message.tokens,
                message.requester,
                repeat=message.repeat,
            )
        except asyncio.CancelledError:
            # Held or not, nothing is sent for it any more.
            self._home.settle((make_undone(message),))
            raise
        if reason is None:
            return None
        return HoldRefused(reason=reason, lock_wait_s=self._home.get_lock_wait())

    async def _hold_there(
        self, peer: PeerState, message: HoldTokens
    ) -> HoldRefused | None:
        home = peer.host
        link = self._links.get_link(peer.peer_url)
        undone = make_undone(message)
        try:
            reply = await link.call(message, timeout_s=HOLD_TIMEOUT_S)
        except PeerUnavailableError as error:
            self._note_failed(peer)
            self._unsettled[home, peer.incarnation].append(undone)
            log_event(
                Event.HOLD_UNANSWERED,
                peer=home,
                request=message.request,
                workspace=message.workspace,
                error=str(error),
            )
            return UNCONFIRMED
        except asyncio.CancelledError:
            self._unsettled[home, peer.incarnation].append(undone)
            raise
        if not isinstance(reply, HoldReply):
            return UNCONFIRMED
        if reply.refused is None and reply.incarnation != peer.incarnation:
            # A new incarnation answered. Its hold is settled with itself.
            self._unsettled[home, reply.incarnation].append(undone)
            self._membership.confirm(home)
            return UNCONFIRMED
        if reply.refused is None:
            return None
        return HoldRefused(reason=reply.refused, lock_wait_s=reply.lock_wait_s)

    def _note_failed(self, peer: PeerState) -> None:
        """Ask another home next time.

        Not for a full link of this host: over that no home answers in time, and taken
        for lost one after the other, all of them would be asked in vain.
        """
        if not self._board.is_link_full(self._timer.now()):
            peer.failed = True
            self._board.note_peer_changed()

    async def _flush(self) -> None:
        for (home, incarnation), holds in list(self._unsettled.items()):
            peer = self._board.peers.get(home)
            if not holds or peer is None or peer.incarnation != incarnation:
                # An ended incarnation's holds were counted as spent.
                del self._unsettled[home, incarnation]
                continue
            del self._unsettled[home, incarnation]
            self.add_future(self._send(home, incarnation, holds[-MAX_UNSETTLED:]))

    async def _send(
        self, home: str, incarnation: str, holds: list[SettledHold]
    ) -> None:
        peer = self._board.peers.get(home)
        if peer is None:
            # It left and gave its stock back; what it held then counts as spent.
            return
        link = self._links.get_link(peer.peer_url)
        message = SettleHolds(incarnation=incarnation, holds=tuple(holds))
        try:
            await link.call(message, timeout_s=SETTLE_TIMEOUT_S)
        except PeerUnavailableError:
            # Counted once only, so it may be told again.
            self._unsettled[home, incarnation] += holds


def make_undone(message: HoldTokens) -> SettledHold:
    """Return the settlement of a hold for which nothing is sent."""
    return SettledHold(workspace=message.workspace, request=message.request, spent=0)
