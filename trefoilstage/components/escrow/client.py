"""Request holds on tokens for this host's requests, and settle them."""

import asyncio
import itertools
import random
from collections import defaultdict
from dataclasses import dataclass

from mode import Service

from trefoilstage.components.escrow.grants import GrantRegistry
from trefoilstage.components.escrow.home import EscrowHome
from trefoilstage.components.escrow.messages import (
    GrantBasis,
    HoldReply,
    HoldTokens,
    SettledHold,
    SettleHolds,
)
from trefoilstage.components.escrow.ranking import HomeRanking
from trefoilstage.components.escrow.retry_after import (
    BUDGET_HELD_RETRY_AFTER_S,
    add_retry_jitter,
    choose_retry_in_outage,
    estimate_store_return,
    make_refusal,
)
from trefoilstage.components.escrow.wait_limits import WaitLimits
from trefoilstage.components.fleet.membership import FleetMembership
from trefoilstage.components.peers.links import PeerLinks
from trefoilstage.exceptions import PeerUnavailableError
from trefoilstage.fleet_board import FleetBoard, PeerState
from trefoilstage.helpers.events import Event, log_event
from trefoilstage.helpers.verdict import Reason, Refusal
from trefoilstage.timer import TimerService

FLUSH_INTERVAL_S = 0.05
# The home itself waits up to 1 s for a draw.
HOLD_TIMEOUT_S = 1.1
SETTLE_TIMEOUT_S = 1.0
# The most settlements kept for a home that has not confirmed them. Older ones are
# dropped, and their holds count as spent in full.
MAX_KEPT_SETTLEMENTS = 5_000


@dataclass(frozen=True, kw_only=True, slots=True)
class EscrowHold:
    """Describe a hold on tokens; an empty home means that no tokens are held."""

    workspace: str
    request: str
    tokens: int
    home: str = ""
    incarnation: str = ""


@dataclass(frozen=True, kw_only=True, slots=True)
class HoldRefused:
    """Describe why a home refused a hold, and what tokens it may have later."""

    reason: Reason
    lock_wait_s: float = 0.0  # until the home may use its locked tokens
    held: int = 0  # tokens that running requests may free


UNCONFIRMED = HoldRefused(reason=Reason.BUDGET_UNCONFIRMED)


class EscrowClient(Service):
    """Request holds from the homes of workspaces and send them settlements."""

    def __init__(
        self,
        *,
        board: FleetBoard,
        membership: FleetMembership,
        home: EscrowHome,
        links: PeerLinks,
        timer: TimerService,
        grants: GrantRegistry,
        ranking: HomeRanking,
        generator: random.Random,
    ) -> None:
        super().__init__()
        self._ranking = ranking
        self._generator = generator
        self._grants = grants
        self._board = board
        self._membership = membership
        self._home = home
        self._links = links
        self._timer = timer
        self._unsettled: dict[tuple[str, str], list[SettledHold]] = defaultdict(list)
        self.n_waiting = 0  # requests that wait for tokens

    async def on_start(self) -> None:
        """Start to send settlements periodically."""
        self._unsubscribe = self._timer.subscribe(
            name="settlements", interval_s=FLUSH_INTERVAL_S, callback=self._flush
        )

    async def on_stop(self) -> None:
        """Stop sending settlements."""
        self._unsubscribe()

    async def hold(
        self, workspace: str, request: str, tokens: int, wait_limits: WaitLimits
    ) -> EscrowHold | Refusal:
        """Return a hold for a request, or its refusal.

        While the store is out of reach and the stock is used up, the request waits
        as long as its limits allow and tokens may still become available.
        """
        if not self._is_prepaid(workspace) or tokens == 0:
            return EscrowHold(workspace=workspace, request=request, tokens=0)
        began_at = self._timer.now()
        for n_retries in itertools.count():
            # A refused hold may have been settled already; each attempt has a new name.
            hold_name = f"{request}/{n_retries}"
            answer = await self._request_from_homes(
                workspace, hold_name, tokens, repeat=n_retries > 0
            )
            if isinstance(answer, EscrowHold):
                if n_retries:
                    self._log_wait(workspace, request, began_at, wait_limits)
                return answer
            wait_s = self._plan_wait(answer, wait_limits)
            if wait_s is None:
                refusal = self._refuse(answer, tokens, wait_limits)
                # The home has logged why there are no tokens; see `hold_refused`.
                if n_retries or refusal.reason is Reason.BUDGET_UNCONFIRMED:
                    self._log_wait(workspace, request, began_at, wait_limits, refusal)
                return refusal
            await self._wait(wait_s)
        raise AssertionError("unreachable")

    async def _wait(self, wait_s: float) -> None:
        self.n_waiting += 1
        try:
            await asyncio.sleep(wait_s)
        finally:
            self.n_waiting -= 1

    async def _request_from_homes(
        self, workspace: str, request: str, tokens: int, *, repeat: bool
    ) -> EscrowHold | HoldRefused:
        first_refusal: HoldRefused | None = None
        for home in self._ranking.list_homes_to_ask(workspace):
            answer = await self._request_from_home(
                home, workspace, request, tokens, repeat=repeat
            )
            if isinstance(answer, EscrowHold):
                return answer
            # The fallbacks may still have tokens. If they refuse too, the home's
            # refusal is returned, because the home knows the account best.
            first_refusal = first_refusal or answer
        return first_refusal or HoldRefused(reason=Reason.BUDGET_UNCONFIRMED)

    def _plan_wait(self, refusal: HoldRefused, wait_limits: WaitLimits) -> float | None:
        if refusal.reason is not Reason.BUDGET_UNCONFIRMED:
            return None
        now = self._timer.now()
        return wait_limits.plan_wait(
            now,
            lock_wait_s=refusal.lock_wait_s,
            store_return_s=estimate_store_return(self._board.store.get_outage_s(now)),
        )

    def _refuse(
        self, refusal: HoldRefused, tokens: int, wait_limits: WaitLimits
    ) -> Refusal:
        now = self._timer.now()
        is_held = refusal.held >= tokens
        outage_s = self._board.store.get_outage_s(now)
        choose = choose_retry_in_outage if outage_s > 0.0 else add_retry_jitter
        retry_after_s = estimate_store_return(outage_s)
        if refusal.reason is Reason.BUDGET_DRAWN and is_held:
            choose, retry_after_s = add_retry_jitter, BUDGET_HELD_RETRY_AFTER_S
        retry_after_s = choose(retry_after_s, wait_limits, now, self._generator)
        return make_refusal(refusal.reason, retry_after_s, is_held=is_held)

    def _log_wait(
        self,
        workspace: str,
        request: str,
        began_at: float,
        wait_limits: WaitLimits,
        refusal: Refusal | None = None,
    ) -> None:
        """Log how a request's wait for tokens ended; no refusal if it got them."""
        now = self._timer.now()
        log_event(
            Event.HOLD_WAIT_ENDED,
            request=request,
            workspace=workspace,
            reason=refusal.reason if refusal else "",
            retry_after_s=refusal.retry_after_s if refusal else None,
            waited_s=now - began_at,
            left_s=wait_limits.deadline - now,
            outage_s=self._board.store.get_outage_s(now),
            second_wait=wait_limits.has_second_wait,
        )

    def settle(self, hold: EscrowHold, spent: int) -> None:
        """Settle a hold with what its request spent."""
        if not hold.home:
            return
        spent = min(spent, hold.tokens)
        self._grants.settle(hold.incarnation, hold.workspace, hold.tokens, spent)
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
        """Send all settlements that are not sent yet."""
        await self._flush()

    def _is_prepaid(self, workspace: str) -> bool:
        configuration = self._board.configuration
        config = configuration and configuration.workspaces.get(workspace)
        return bool(config and config.prepaid_tokens is not None)

    async def _request_from_home(
        self, home: str, workspace: str, request: str, tokens: int, *, repeat: bool
    ) -> EscrowHold | HoldRefused:
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
            answer = await self._hold_locally(message)
        elif peer is None:
            # The host left while another home was asked.
            return UNCONFIRMED
        else:
            incarnation = peer.incarnation
            answer = await self._hold_at_peer(peer, message)
        if isinstance(answer, HoldRefused):
            return answer
        if not self._grants.accept(
            incarnation, workspace, tokens, host=home, basis=answer
        ):
            self._release(home, incarnation, message)
            return UNCONFIRMED
        return EscrowHold(
            workspace=workspace,
            request=request,
            tokens=tokens,
            home=home,
            incarnation=incarnation,
        )

    def _release(self, home: str, incarnation: str, message: HoldTokens) -> None:
        """Release the hold of a grant that is not valid any more."""
        release = make_release(message)
        if home == self._board.host:
            self._home.settle((release,))
        else:
            self._unsettled[home, incarnation].append(release)

    async def _hold_locally(
        self, message: HoldTokens
    ) -> HoldRefused | GrantBasis | None:
        try:
            reason = await self._home.hold(
                message.workspace,
                message.request,
                message.tokens,
                message.requester,
                repeat=message.repeat,
            )
        except asyncio.CancelledError:
            # The request is cancelled; release the tokens, in case they are held.
            self._home.settle((make_release(message),))
            raise
        if reason is None:
            return self._home.get_basis(message.workspace)
        is_drawn = reason is Reason.BUDGET_DRAWN
        held = self._home.count_held(message.workspace, message.tokens)
        return HoldRefused(
            reason=reason,
            lock_wait_s=self._home.get_lock_wait_s(),
            held=held if is_drawn else 0,
        )

    async def _hold_at_peer(
        self, peer: PeerState, message: HoldTokens
    ) -> HoldRefused | GrantBasis | None:
        home = peer.host
        link = self._links.get_link(peer.peer_url)
        release = make_release(message)
        try:
            reply = await link.call(message, timeout_s=HOLD_TIMEOUT_S)
        except PeerUnavailableError as error:
            self._mark_failed(peer)
            self._unsettled[home, peer.incarnation].append(release)
            log_event(
                Event.HOLD_UNANSWERED,
                peer=home,
                request=message.request,
                workspace=message.workspace,
                error=str(error),
            )
            return UNCONFIRMED
        except asyncio.CancelledError:
            self._unsettled[home, peer.incarnation].append(release)
            raise
        if not isinstance(reply, HoldReply):
            return UNCONFIRMED
        if reply.refused is None and reply.incarnation != peer.incarnation:
            # A new incarnation of the home replied; the hold is released there.
            self._unsettled[home, reply.incarnation].append(release)
            self._membership.confirm_incarnation(home)
            return UNCONFIRMED
        if reply.refused is None:
            return reply.basis
        return HoldRefused(
            reason=reply.refused, lock_wait_s=reply.lock_wait_s, held=reply.held
        )

    def _mark_failed(self, peer: PeerState) -> None:
        """Mark a peer as failed, so that another home is asked next time.

        A peer is not marked while this host's own link is full: no home replies in
        time over it, and this host would mark one home after the other as failed.
        """
        if not self._board.is_link_full(self._timer.now()):
            peer.failed = True
            self._board.invalidate_live_hosts()

    async def _flush(self) -> None:
        for (home, incarnation), holds in list(self._unsettled.items()):
            peer = self._board.peers.get(home)
            if not holds or peer is None or peer.incarnation != incarnation:
                # Holds of an ended incarnation were counted as spent.
                del self._unsettled[home, incarnation]
                continue
            del self._unsettled[home, incarnation]
            self.add_future(
                self._send_settlements(home, incarnation, holds[-MAX_KEPT_SETTLEMENTS:])
            )

    async def _send_settlements(
        self, home: str, incarnation: str, holds: list[SettledHold]
    ) -> None:
        peer = self._board.peers.get(home)
        if peer is None:
            # The home has left. It returned its stock, and its holds count as spent.
            return
        link = self._links.get_link(peer.peer_url)
        message = SettleHolds(incarnation=incarnation, holds=tuple(holds))
        try:
            await link.call(message, timeout_s=SETTLE_TIMEOUT_S)
        except PeerUnavailableError:
            # The home counts a settlement only once, so it can be sent again.
            # Older ones go first, as those are dropped when too many are kept.
            newer = self._unsettled[home, incarnation]
            self._unsettled[home, incarnation] = holds + newer


def make_release(message: HoldTokens) -> SettledHold:
    """Return the settlement of a hold whose request was not sent."""
    return SettledHold(workspace=message.workspace, request=message.request, spent=0)
