"""Determine what an ended home had granted, from the hosts that it granted to.

The hosts that a home's record lists as requesters are its witnesses: only they may get
grants, and they report what they used once the home has ended.
"""

from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass

from trefoilstage.components.escrow.grants import GrantRegistry
from trefoilstage.components.escrow.messages import SealHome, SealReply
from trefoilstage.components.escrow.record import Holder, HolderUsage
from trefoilstage.components.escrow.rosters import get_roster_name
from trefoilstage.fleet_board import FleetBoard
from trefoilstage.timer import TimerService

# A peer without a heartbeat for this long is not listed as a requester. Listing it
# again takes a write, so this is longer than the time after which it counts as lost.
REQUESTER_TIMEOUT_S = 3.0

AskSeal = Callable[[str, SealHome], Awaitable[SealReply | None]]
ConfirmIncarnation = Callable[[str], None]


@dataclass(frozen=True, kw_only=True, slots=True)
class UnknownUsage:
    """Report that a host's reply or proof is missing; it may come later."""

    host: str


class EscrowRecovery:
    """List the hosts that may get grants, and ask them once a home has ended."""

    def __init__(
        self,
        *,
        board: FleetBoard,
        timer: TimerService,
        grants: GrantRegistry,
        ask_seal: AskSeal,
        confirm_incarnation: ConfirmIncarnation,
    ) -> None:
        self._board = board
        self._timer = timer
        self._grants = grants
        self._ask_seal = ask_seal
        self._confirm_incarnation = confirm_incarnation
        self._has_own_requests = False
        self._first_seen: dict[str, float] = {}  # by incarnation in a record

    def record_requester(self, requester: str) -> None:
        """Record a request; this host is a requester only once it has made one here.

        Grants to this host have no other witness. If it ends while it is on the roster,
        all that it drew counts as used, except tokens proven to be unused.
        """
        if requester == self._board.incarnation:
            self._has_own_requests = True

    def list_requesters(self) -> dict[str, str]:
        """Return the incarnations that may get grants, by host."""
        min_heard_at = self._timer.now() - REQUESTER_TIMEOUT_S
        requesters = {
            peer.host: peer.incarnation
            for peer in self._board.peers.values()
            if peer.last_heard >= min_heard_at
        }
        if self._has_own_requests:
            requesters[self._board.host] = self._board.incarnation
        return requesters

    def has_ended(self, host: str, incarnation: str) -> bool:
        """Return whether an incarnation in a record has ended.

        Its host must have replied as another incarnation to a call made after the
        record was read. An earlier heartbeat may be older than the record: a live
        home would be treated as ended and stay sealed until its next start. A host
        that does not respond may be paused or cut off, and continue later.
        """
        now = self._timer.now()
        first_seen = self._first_seen.setdefault(incarnation, now)
        if host == self._board.host:
            return incarnation != self._board.incarnation
        peer = self._board.peers.get(host)
        if peer is None or peer.incarnation == incarnation:
            return False
        if peer.confirmed_at < first_seen:
            self._confirm_incarnation(host)
            return False
        return True

    def find_known_roster(self, holder: Holder) -> Mapping[str, str] | None:
        """Return an ended home's roster that no store has, by the hosts known here.

        A restored store may lack a roster whose name another host has read. Most often
        only the home itself has restarted since it wrote the roster.
        """
        known = {peer.host: peer.incarnation for peer in self._board.peers.values()}
        known[self._board.host] = self._board.incarnation
        for hosts in (known.keys(), self.list_requesters().keys()):
            members = {host: known[host] for host in hosts if host != holder.host}
            members[self._board.host] = self._board.incarnation
            if get_roster_name(members) == holder.roster:
                return members
        return None

    async def find_usage(
        self,
        workspace: str,
        incarnation: str,
        holder: Holder,
        roster: Mapping[str, str] | None,
    ) -> HolderUsage | UnknownUsage:
        """Return what was used of an ended home's draws, by its witnesses' reports.

        A roster of None is lost: hosts that nobody can name may have used all.
        """
        if roster is None or any(
            self.has_ended(host, witness) for host, witness in roster.items()
        ):
            return self._find_unwitnessed_usage(incarnation, holder)
        total = holder.used_by_former
        for host, witness in roster.items():
            reply = await self._seal(host, incarnation)
            if reply is None or reply.incarnation != witness:
                return UnknownUsage(host=host)
            total += reply.used.get(workspace, 0)
        return HolderUsage(tokens=total, witnessed=True)

    def _find_unwitnessed_usage(
        self, incarnation: str, holder: Holder
    ) -> HolderUsage | UnknownUsage:
        """Return all that a home drew, less what its successor proves to be unused."""
        if not holder.locked:
            return HolderUsage(tokens=holder.drawn, witnessed=False)
        proven = self._get_proven_untouched(holder.host)
        if proven is None:
            # The successor has not read the promise yet.
            return UnknownUsage(host=holder.host)
        untouched = holder.locked if incarnation in proven else 0
        return HolderUsage(tokens=holder.drawn - untouched, witnessed=False)

    def _get_proven_untouched(self, host: str) -> tuple[str, ...] | None:
        if host == self._board.host:
            return self._board.untouched
        peer = self._board.peers.get(host)
        return peer.untouched if peer else None

    async def _seal(self, host: str, incarnation: str) -> SealReply | None:
        if host == self._board.host:
            return self.seal(SealHome(incarnation=incarnation))
        return await self._ask_seal(host, SealHome(incarnation=incarnation))

    def seal(self, message: SealHome) -> SealReply:
        """Refuse an incarnation's later grants; reply with what was used of them."""
        used = self._grants.seal(message.incarnation)
        return SealReply(incarnation=self._board.incarnation, used=used)
