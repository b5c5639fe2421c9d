"""Choose a draw's witness among the peers, and ask them for unheld tokens."""

import asyncio
import random

from trefoilstage.blackboard import Blackboard
from trefoilstage.components.budget.account_pool import AccountPool
from trefoilstage.components.budget.accounts import Accounts
from trefoilstage.components.budget.draw_pool import NO_WITNESS
from trefoilstage.components.budget.messages import Starved
from trefoilstage.components.budget.policy import RecoveryPolicy
from trefoilstage.components.peers.links import PeerLinks
from trefoilstage.exceptions import PeerUnavailableError
from trefoilstage.ledger.state import DrawStatus


class BudgetPeers:
    """Choose witnesses among the peers, and ask peers for unheld tokens."""

    def __init__(
        self,
        *,
        blackboard: Blackboard,
        accounts: Accounts,
        links: PeerLinks,
        recovery: RecoveryPolicy,
        ask_timeout_s: float,
        generator: random.Random,
    ) -> None:
        self._blackboard = blackboard
        self._accounts = accounts
        self._links = links
        self._recovery = recovery
        self._ask_timeout_s = ask_timeout_s
        self._generator = generator

    def pick_witness(self, lost: str) -> str:
        """Return a live peer's incarnation, or NO_WITNESS; prefer this data centre."""
        live = self._blackboard.list_live_peers()
        if self._recovery is RecoveryPolicy.COUNT_AS_SPENT or not live:
            return NO_WITNESS
        # A peer that did not respond just now may still be listed as live.
        peers = [entry for entry in live if entry.incarnation != lost] or live
        near = [
            entry
            for entry in peers
            if entry.data_center == self._blackboard.data_center
        ]
        return self._generator.choice(near or peers).incarnation

    def has_better_witness(self, witness: str) -> bool:
        """Return whether the witness is lost and a live peer could replace it."""
        if self._recovery is RecoveryPolicy.COUNT_AS_SPENT:
            return False
        live = {entry.incarnation for entry in self._blackboard.list_live_peers()}
        return bool(live) and witness not in live

    async def ask_holders(self, pool: AccountPool) -> None:
        """Ask the peers with draws on an account to give back unheld tokens."""
        holders = {
            draw.holder
            for draw in self._accounts.list_peer_draws(pool)
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
                Starved(account=account), timeout_s=self._ask_timeout_s
            )
        except PeerUnavailableError:
            return
