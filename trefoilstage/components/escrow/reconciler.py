"""Reconcile accounts with what all hosts know, once the store came back older.

A restored record lacks the draws since the copy was made. No home draws from it before
the hosts that may know of them were asked, and what they know was written.
"""

import asyncio
from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass, field, replace

from trefoilstage.components.escrow.account import EscrowAccount
from trefoilstage.components.escrow.account_store import AccountStore
from trefoilstage.components.escrow.grants import GrantRegistry
from trefoilstage.components.escrow.messages import (
    AccountKnowledge,
    AccountsReply,
    AskAccounts,
    RestoredAccount,
)
from trefoilstage.components.escrow.record import AccountRecord
from trefoilstage.components.escrow.restored_record import (
    NO_POSITION,
    HostReport,
    LaterGrants,
    RestoredRecord,
    find_later_grants,
    find_newest,
    reconcile,
    update_spent,
)
from trefoilstage.components.fleet.known_hosts import get_lost_after_s
from trefoilstage.fleet_board import FleetBoard
from trefoilstage.helpers.events import Event, log_event
from trefoilstage.timer import TimerService

# Accounts that are read meanwhile are asked about in the same messages.
ROUND_DELAY_S = 0.01
# A reply may hold a record of 10 KB for each of them in a fleet of 60 hosts.
MAX_ACCOUNTS_PER_ROUND = 50
# A host that sends heartbeats and does not report for this long is not waited for: it
# may run an earlier build, which can't.
MAX_REPORT_WAIT_S = 4.0

AskForAccounts = Callable[[str, AskAccounts], Awaitable[AccountsReply | None]]


@dataclass(kw_only=True, slots=True)
class Round:
    """Collect the hosts' replies about some accounts."""

    accounts: dict[str, RestoredAccount] = field(default_factory=dict)
    task: asyncio.Task[dict[str, AccountsReply]] | None = None


class Reconciler:
    """Ask all hosts about restored accounts, and write what they know."""

    def __init__(
        self,
        *,
        board: FleetBoard,
        timer: TimerService,
        grants: GrantRegistry,
        accounts: Mapping[str, EscrowAccount],
        account_store: AccountStore,
        ask_accounts: AskForAccounts,
    ) -> None:
        self._board = board
        self._timer = timer
        self._grants = grants
        self._accounts = accounts
        self._account_store = account_store
        self._ask_accounts = ask_accounts
        self._next_round: Round | None = None
        self._began: dict[str, tuple[int, float]] = {}  # era and time, by workspace
        self._mute: set[str] = set()  # incarnations that don't report

    def answer(self, message: AskAccounts) -> AccountsReply:
        """Return what this host knows; refuse grants that rely on earlier records."""
        return AccountsReply(
            incarnation=self._board.incarnation,
            accounts={
                workspace: self._report(workspace, restored)
                for workspace, restored in message.accounts.items()
            },
            hosts=tuple(self._list_heard()),
        )

    def _report(self, workspace: str, restored: RestoredAccount) -> AccountKnowledge:
        account = self._accounts.get(workspace)
        known = account.report(restored) if account else AccountKnowledge()
        grants = self._grants.report(workspace, restored)
        return replace(known, grants=tuple(grants))

    async def reconcile(self, account: EscrowAccount) -> bool:
        """Write what all hosts know of an account; return whether it was stored.

        Raise StoreUnavailableError if the store does not respond.
        """
        restored = account.restored
        if restored is None:
            return True
        replies = await self._collect(account.workspace, restored)
        self._mute -= {reply.incarnation for reply in replies.values()}
        missing = self._list_missing(replies)
        if missing and not self._is_over(account.workspace, restored):
            log_event(
                Event.ACCOUNT_REPORTS_MISSING,
                workspace=account.workspace,
                hosts=",".join(missing),
            )
            return False
        self._mute.update(
            self._board.peers[host].incarnation
            for host in missing
            if host in self._board.peers
        )
        if account.restored is not restored:
            # Another host was faster, or the store came back older again.
            return account.restored is None
        return await self._write(account, restored, replies, missing)

    async def _write(
        self,
        account: EscrowAccount,
        restored: RestoredRecord,
        replies: Mapping[str, AccountsReply],
        missing: list[str],
    ) -> bool:
        reports = [
            HostReport(
                host=host,
                incarnation=reply.incarnation,
                knowledge=reply.accounts.get(account.workspace, AccountKnowledge()),
            )
            for host, reply in replies.items()
        ]
        position, newest = find_newest(restored, reports)
        later = find_later_grants(reports, position)
        record, needed = reconcile(
            update_spent(newest, reports),
            later,
            await self._read_rosters(newest, later),
            adds_holders=restored.written_at is not None,
        )
        needed += [report.knowledge.roster for report in reports]
        is_stored = await self._account_store.put_reconciled(account, record, needed)
        log_event(
            Event.ACCOUNT_RECONCILED,
            workspace=account.workspace,
            stored=is_stored,
            n_restored=restored.era,
            n_reports=len(reports),
            missing=",".join(missing),
            raised=",".join(sorted(later)),
            drawn_by_all=record.drawn,
            drawn_in_copy=restored.record.drawn,
            drawn_in_newest=newest.drawn,
        )
        return is_stored

    async def _read_rosters(
        self, record: AccountRecord, later: Mapping[str, LaterGrants]
    ) -> dict[str, Mapping[str, str] | None]:
        """Return the rosters of homes that granted after a record was written."""
        holders = [record.holders[name] for name in later if name in record.holders]
        rosters: dict[str, Mapping[str, str] | None] = {"": {}}
        for holder in holders:
            rosters[holder.roster] = await self._account_store.read_roster(holder)
        return rosters

    def _is_over(self, workspace: str, restored: RestoredRecord) -> bool:
        """Return whether hosts that don't report were waited for long enough."""
        now = self._timer.now()
        era, began_at = self._began.get(workspace, (NO_POSITION, now))
        if era != restored.era:
            self._began[workspace] = (restored.era, now)
            began_at = now
        return now - began_at >= MAX_REPORT_WAIT_S

    def _list_heard(self) -> list[str]:
        """Return the hosts that were heard from lately, whether or not they serve."""
        min_heard_at = self._timer.now() - get_lost_after_s(self._board)
        return [
            peer.host
            for peer in self._board.peers.values()
            if not peer.failed and peer.last_heard >= min_heard_at
        ]

    def _list_missing(self, replies: Mapping[str, AccountsReply]) -> list[str]:
        """Return the hosts that are there, by this host or another, and didn't report.

        A host that started lately may not know all others.
        """
        heard = set(self._list_heard())
        for reply in replies.values():
            heard.update(host for host in reply.hosts if not self._knows(host))
        mute = {
            peer.host
            for peer in self._board.peers.values()
            if peer.incarnation in self._mute
        }
        return sorted(heard - set(replies) - mute)

    def _knows(self, host: str) -> bool:
        return host == self._board.host or host in self._board.peers

    async def _collect(
        self, workspace: str, restored: RestoredRecord
    ) -> dict[str, AccountsReply]:
        """Return the replies of all hosts that reply, with this host's own."""
        current = self._next_round
        if current is None or len(current.accounts) >= MAX_ACCOUNTS_PER_ROUND:
            current = self._next_round = Round()
            current.task = asyncio.create_task(self._run(current))
        written_at = restored.written_at
        current.accounts[workspace] = RestoredAccount(
            read_at=restored.read_at,
            written_at=NO_POSITION if written_at is None else written_at,
        )
        assert current.task is not None
        return await asyncio.shield(current.task)

    async def _run(self, current: Round) -> dict[str, AccountsReply]:
        await asyncio.sleep(ROUND_DELAY_S)
        if self._next_round is current:
            self._next_round = None
        message = AskAccounts(accounts=current.accounts)
        hosts = list(self._board.peers)
        replies = await asyncio.gather(
            *(self._ask_accounts(host, message) for host in hosts)
        )
        found = {
            host: reply
            for host, reply in zip(hosts, replies, strict=True)
            if reply is not None
        }
        return {**found, self._board.host: self.answer(message)}
