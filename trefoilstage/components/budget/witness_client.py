"""Report this host's holds to their witnesses, with one call at a time per draw."""

import asyncio

from trefoilstage.blackboard import Blackboard
from trefoilstage.components.budget.account_pool import AccountPool
from trefoilstage.components.budget.accounts import Accounts
from trefoilstage.components.budget.draw_pool import DrawPool
from trefoilstage.components.budget.messages import Bound, BoundReply
from trefoilstage.components.peers.links import PeerLinks
from trefoilstage.exceptions import PeerUnavailableError
from trefoilstage.helpers.events import Event, log_event
from trefoilstage.timer import TimerService

UNREAD_DRAW_RETRY_S = 0.005
UNREAD_DRAW_TIMEOUT_S = 0.5


class WitnessClient:
    """Ask witnesses to allow holds; each call includes all that are pending."""

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

    async def send_update(
        self, pool: AccountPool, draw: DrawPool, deadline: float
    ) -> None:
        """Report pending changes to the witness; wait for its reply or the deadline."""
        wait_s = max(0.0, deadline - self._timer.now())
        await asyncio.wait({self.start_update(pool, draw)}, timeout=wait_s)

    def start_update(self, pool: AccountPool, draw: DrawPool) -> asyncio.Task[None]:
        """Report pending changes to the witness, unless a call is already running."""
        task = self._updates.get(draw.draw)
        if task is None:
            task = asyncio.create_task(self._run_update(pool, draw))
            self._updates[draw.draw] = task
            task.add_done_callback(lambda _: self._updates.pop(draw.draw, None))
        return task

    async def _run_update(self, pool: AccountPool, draw: DrawPool) -> None:
        deadline = self._timer.now() + UNREAD_DRAW_TIMEOUT_S
        while (bound := draw.propose_bound(pool.number)) is not None:
            reply = await self._call_witness(draw.witness, bound)
            if reply is not None and reply.allowed:
                draw.confirm_bound(bound)
                return
            # This host may read the grant of a draw before the witness has read it.
            is_unread = reply is not None and not reply.known
            if not is_unread or self._timer.now() >= deadline:
                break
            await asyncio.sleep(UNREAD_DRAW_RETRY_S)
        else:
            return
        # While the log is unreachable, no other draw can be obtained. This one is
        # kept, since its witness may only be slow or may respond again soon.
        if reply is None and not self._accounts.is_log_reachable(pool):
            await asyncio.sleep(UNREAD_DRAW_RETRY_S)
            return
        log_event(Event.WITNESS_LOST, draw=draw.draw, witness=draw.witness)
        pool.lost_witness = draw.witness
        if pool.current is draw:
            pool.retire_current()

    async def _call_witness(self, witness: str, bound: Bound) -> BoundReply | None:
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
