"""Pick a draw's witness among the peers, and ask them for unheld tokens."""

import asyncio
import random

from trefoilstage.blackboard import Blackboard
from trefoilstage.components.budget.account import AccountPool
from trefoilstage.components.budget.accounts import Accounts
from trefoilstage.components.budget.messages import Starved
from trefoilstage.components.budget.policy import RETURN_WAIT_S, Recovery
from trefoilstage.components.budget.pool import NO_WITNESS
from trefoilstage.components.log_client.streams import Streams
from trefoilstage.components.peers.links import PeerLinks
from trefoilstage.exceptions import PeerUnavailableError
from trefoilstage.ledger.state import DrawStatus


class BudgetPeers:
    """Turn to other hosts for a witness or for tokens."""

    def __init__(
        self,
        *,
        blackboard: Blackboard,
        accounts: Accounts,
        streams: Streams,
        links: PeerLinks,
        recovery: Recovery,
        starved_wait_s: float,
        generator: random.Random,
    ) -> None:
        self._blackboard = blackboard
        self._accounts = accounts
        self._streams = streams
        self._links = links
        self._recovery = recovery
        self._starved_wait_s = starved_wait_s
        self._generator = generator

    def pick_witness(self, lost: str) -> str:
        """Return a live peer's incarnation, one in this data centre if any is."""
        live = self._blackboard.list_live_peers()
        if self._recovery is Recovery.COUNT_AS_SPENT or not live:
            return NO_WITNESS
        # A peer that has just failed to answer may still count as live.
        peers = [entry for entry in live if entry.incarnation != lost] or live
        near = [
            entry
            for entry in peers
            if entry.data_center == self._blackboard.data_center
        ]
        return self._generator.choice(near or peers).incarnation

    def has_better_witness(self, witness: str) -> bool:
        """Tell whether a new draw would be witnessed where this one is not."""
        if self._recovery is Recovery.COUNT_AS_SPENT:
            return False
        live = {entry.incarnation for entry in self._blackboard.list_live_peers()}
        return bool(live) and witness not in live

    async def ask_back(self, pool: AccountPool, tokens: int) -> bool:
        """Ask for unheld tokens; tell whether enough came free in time."""
        missing = tokens - self._accounts.get_account(pool).free
        foreign = self._accounts.list_foreign(pool)
        if missing > sum(draw.amount - draw.spent for draw in foreign):
            return False
        changed = asyncio.Event()
        unsubscribe = self._streams.ledgers[pool.number].subscribe(
            lambda *_: changed.set()
        )
        asking = asyncio.create_task(self._ask_holders(pool))
        wait_s = RETURN_WAIT_S[self._accounts.get_preference(pool)]
        try:
            async with asyncio.timeout(min(wait_s, self._starved_wait_s)):
                while self._accounts.get_account(pool).free < tokens:
                    changed.clear()
                    await changed.wait()
        except TimeoutError:
            return False
        finally:
            unsubscribe()
            asking.cancel()
        return True

    async def _ask_holders(self, pool: AccountPool) -> None:
        holders = {
            draw.holder
            for draw in self._accounts.list_foreign(pool)
            if draw.status is DrawStatus.OPEN
        }
        calls = [
            self._ask_holder(entry.peer_url, pool.account)
            for entry in self._blackboard.list_live_peers()
            if entry.incarnation in holders
        ]
        await asyncio.gather(*calls)

    async def _ask_holder(self, url: str, account: str) -> None:
        try:
            await self._links.get_link(url).call(
                Starved(account=account), timeout_s=self._starved_wait_s
            )
        except PeerUnavailableError:
            return
