"""Keep the witnesses of this host's draws told, one call a draw at a time."""

import asyncio

from trefoilstage.blackboard import Blackboard
from trefoilstage.components.budget.account import AccountPool
from trefoilstage.components.budget.accounts import Accounts
from trefoilstage.components.budget.messages import Bound, BoundReply
from trefoilstage.components.budget.pool import DrawPool
from trefoilstage.components.peers.links import PeerLinks
from trefoilstage.exceptions import PeerUnavailableError
from trefoilstage.helpers.events import Event, log_event
from trefoilstage.timer import TimerService

UNREAD_RETRY_S = 0.005
UNREAD_LIMIT_S = 0.5


class WitnessClient:
    """Ask witnesses to allow holds; whatever waits goes into one call."""

    def __init__(
        self,
        *,
        blackboard: Blackboard,
        accounts: Accounts,
        links: PeerLinks,
        timer: TimerService,
        timeout_s: float,
    ) -> None:
        self._blackboard = blackboard
        self._accounts = accounts
        self._links = links
        self._timer = timer
        self._timeout_s = timeout_s
        self._updates: dict[str, asyncio.Task[None]] = {}

    async def update(self, pool: AccountPool, draw: DrawPool, deadline: float) -> None:
        """Send what the witness has not been told and wait for its answer."""
        wait_s = max(0.0, deadline - self._timer.now())
        await asyncio.wait({self.start_update(pool, draw)}, timeout=wait_s)

    def start_update(self, pool: AccountPool, draw: DrawPool) -> asyncio.Task[None]:
        """Send what the witness has not been told, unless a call is under way."""
        task = self._updates.get(draw.draw)
        if task is None:
            task = asyncio.create_task(self._send(pool, draw))
            self._updates[draw.draw] = task
            task.add_done_callback(lambda _: self._updates.pop(draw.draw, None))
        return task

    async def _send(self, pool: AccountPool, draw: DrawPool) -> None:
        deadline = self._timer.now() + UNREAD_LIMIT_S
        while (bound := draw.propose_bound(pool.number)) is not None:
            reply = await self._ask(draw.witness, bound)
            if reply is not None and reply.allowed:
                draw.confirm_bound(bound)
                return
            # A draw may be granted here before its witness has read so far.
            unread = reply is not None and not reply.known
            if not unread or self._timer.now() >= deadline:
                break
            await asyncio.sleep(UNREAD_RETRY_S)
        else:
            return
        # With the log out no other draw can be had; a witness that is merely
        # slow, or back soon, still makes this one worth keeping.
        if reply is None and not self._accounts.is_log_reachable(pool):
            await asyncio.sleep(UNREAD_RETRY_S)
            return
        log_event(Event.WITNESS_LOST, draw=draw.draw, witness=draw.witness)
        pool.lost_witness = draw.witness
        if pool.current is draw:
            pool.retire()

    async def _ask(self, witness: str, bound: Bound) -> BoundReply | None:
        url = self._find_url(witness)
        if url is None:
            return None
        try:
            reply = await self._links.get_link(url).call(
                bound, timeout_s=self._timeout_s
            )
        except PeerUnavailableError:
            return None
        return reply if isinstance(reply, BoundReply) else None

    def _find_url(self, incarnation: str) -> str | None:
        for entry in self._blackboard.config.hosts.values():
            if entry.incarnation == incarnation:
                return entry.peer_url
        return None
