"""Run escrow homes on an in-memory store, with a clock that the test sets."""

import random
from collections.abc import Mapping
from dataclasses import dataclass, field

from standins.keyed_store import KeyedStore
from trefoilstage.components.escrow.grants import GrantRegistry
from trefoilstage.components.escrow.home import EscrowHome
from trefoilstage.components.escrow.lock import ReserveLock
from trefoilstage.components.escrow.lock_keeper import LockKeeper
from trefoilstage.components.escrow.messages import (
    AccountsReply,
    AskAccounts,
    GrantBasis,
    SealHome,
    SealReply,
    SettledHold,
)
from trefoilstage.components.escrow.record import ACCOUNT_CODEC
from trefoilstage.components.escrow.recovery import EscrowRecovery
from trefoilstage.components.escrow.stock import HomeRank
from trefoilstage.components.fleet.messages import FLEET_CODEC
from trefoilstage.components.forwarding.models import FleetConfiguration, Workspace
from trefoilstage.components.peers.server import PeerServer
from trefoilstage.components.views.store import Topic, make_position
from trefoilstage.fleet_board import FleetBoard, PeerState
from trefoilstage.helpers.verdict import Reason
from trefoilstage.phase import Phase
from trefoilstage.timer import TimerService
from trefoilstage.util.process_start import ProcessStart

WORKSPACE = "brest-school"
OTHER_WORKSPACE = "quimper-crew"


class ManualTimer(TimerService):
    """Return a time that the test sets."""

    def __init__(self) -> None:
        super().__init__()
        self.time = 0.0

    def now(self) -> float:
        """Return the time set by the test."""
        return self.time


def make_configuration(prepaid: int, version: int = 1) -> FleetConfiguration:
    """Return a configuration with two prepaid workspaces."""
    workspaces = {
        name: Workspace(name=name, priority=None, prepaid_tokens=prepaid)
        for name in (WORKSPACE, OTHER_WORKSPACE)
    }
    return FleetConfiguration(version=version, workspaces=workspaces)


@dataclass(kw_only=True, slots=True)
class Grant:
    """Describe a grant that is in flight from a home or used by a running request."""

    home: str
    incarnation: str
    requester: str
    workspace: str
    request: str
    tokens: int
    basis: GrantBasis | None


@dataclass(kw_only=True, slots=True)
class EscrowCluster:
    """Run hosts that share a store, and count the tokens that were really spent."""

    prepaid: int
    store: KeyedStore = field(default_factory=KeyedStore)
    timer: ManualTimer = field(default_factory=ManualTimer)
    homes: dict[str, EscrowHome] = field(default_factory=dict)
    boards: dict[str, FleetBoard] = field(default_factory=dict)
    grants: dict[str, GrantRegistry] = field(default_factory=dict)
    recoveries: dict[str, EscrowRecovery] = field(default_factory=dict)
    keepers: dict[str, LockKeeper] = field(default_factory=dict)
    boot: str = "boot-1"
    unreachable: set[str] = field(default_factory=set)
    home: str = ""
    n_starts: int = 0
    # The hosts that were asked for their incarnation.
    confirmed: list[str] = field(default_factory=list)
    spent: dict[str, int] = field(default_factory=dict)
    in_flight: list[Grant] = field(default_factory=list)
    running: dict[str, Grant] = field(default_factory=dict)

    def start(self, host: str) -> EscrowHome:
        """Start a new incarnation of a host, without the memory of the previous one."""
        self.n_starts += 1
        board = FleetBoard(
            host=host,
            incarnation=f"{host}-{self.n_starts}",
            data_center="brest",
            phase=Phase.SERVING,
            configuration=make_configuration(self.prepaid),
        )
        position = make_position(self.store.era, 0)
        board.store.record_position(position, self.timer.time)
        grants = GrantRegistry()
        recovery = EscrowRecovery(
            board=board,
            timer=self.timer,
            grants=grants,
            ask_seal=self.ask_seal,
            confirm_incarnation=self.confirmed.append,
        )
        lock = ReserveLock()
        home = EscrowHome(
            board=board,
            store=self.store,
            server=PeerServer(address="127.0.0.1", port=0, codec=FLEET_CODEC),
            timer=self.timer,
            n_partitions=1,
            get_own_rank=lambda workspace: (
                HomeRank.FIRST if self.home == host else HomeRank.NONE
            ),
            recovery=recovery,
            grants=grants,
            ask_accounts=self.ask_accounts,
            lock=lock,
        )
        self.keepers[host] = LockKeeper(
            board=board,
            store=self.store,
            timer=self.timer,
            lock=lock,
            start=ProcessStart(boot=self.boot, monotonic_s=self.timer.time, offset=0.0),
            has_locked=home.has_locked,
            has_used_locked=home.has_used_locked,
        )
        self.homes[host] = home
        self.boards[host] = board
        self.grants[host] = grants
        self.recoveries[host] = recovery
        # The host's running requests have ended, and grants in flight to it are lost.
        self.running = {
            name: item for name, item in self.running.items() if item.requester != host
        }
        self.in_flight = [item for item in self.in_flight if item.requester != host]
        for other in self.boards:
            self.update_peer(host, other)
        return home

    def update_peer(self, host: str, other: str) -> None:
        """Give a host a current heartbeat of another host."""
        if host != other:
            self.boards[host].peers[other] = PeerState(
                host=other,
                incarnation=self.boards[other].incarnation,
                peer_url="",
                data_center="brest",
                last_heard=self.timer.time,
                confirmed_at=self.timer.time,
                serving=True,
                untouched=self.boards[other].untouched,
            )

    def update_all_peers(self) -> None:
        """Give every host a current heartbeat of every other host."""
        for host in self.boards:
            for other in self.boards:
                self.update_peer(host, other)

    async def restore_store(self, copy: Mapping[tuple[Topic, int], int]) -> None:
        """Let the store come back from a copy, and homes reconcile their accounts."""
        self.store.restore(copy)
        for host in self.homes:
            self.notice_restored_store(host)
        for _ in range(2):
            for home in self.homes.values():
                for account in home.list_accounts():
                    await home._draw(account.workspace)

    def notice_restored_store(self, host: str) -> None:
        """Let a host read that the store came back older."""
        position = make_position(self.store.era, 0)
        if self.boards[host].store.record_position(position, self.timer.time):
            self.homes[host].forget_stored()

    async def run_lock_keeper(self, host: str) -> None:
        """Let a host read its predecessor's promise, or later renew its own."""
        keeper = self.keepers[host]
        if self.boards[host].untouched is None:
            if self.store.is_down or self.store.refused_call_share:
                return
            await keeper.read_predecessor()
        else:
            # The host's followers would have recorded the store's reply.
            if not self.store.is_down:
                self.boards[host].store.last_answer = self.timer.time
            await keeper.renew()

    async def recover(self, host: str, workspace: str) -> None:
        """Let a host that has the account recover one ended home."""
        home = self.homes[host]
        if workspace in home._accounts:
            if home._accounts[workspace].restored:
                await home._draw(workspace)
            await home._recover(workspace)

    def count_unavailable(self, workspace: str) -> int:
        """Return the tokens drawn in the store, less what homes may still grant."""
        found = self.store.partitions[Topic.ACCOUNTS, 0].list_newest()
        values = {record.key: record.value for record in found}
        record = ACCOUNT_CODEC.decode(values[workspace] or b"")
        accounts = [
            account
            for home in self.homes.values()
            for account in home.list_accounts()
            if account.workspace == workspace
        ]
        return record.drawn - sum(max(0, account.unused) for account in accounts)

    async def ask_seal(self, host: str, message: SealHome) -> SealReply | None:
        """Seal a home at a host; return None if the host is unreachable."""
        if host in self.unreachable:
            return None
        return self.recoveries[host].seal(message)

    async def ask_accounts(
        self, host: str, message: AskAccounts
    ) -> AccountsReply | None:
        """Ask a host what it knows of accounts; return None if it is unreachable."""
        if host in self.unreachable:
            return None
        return self.homes[host]._reconciler.answer(message)

    async def request_grant(
        self, home: str, requester: str, workspace: str, request: str, tokens: int
    ) -> Reason | None:
        """Request a hold from a home; its grant is then in flight."""
        incarnation = self.boards[requester].incarnation
        refused = await self.homes[home].hold(workspace, request, tokens, incarnation)
        if refused is None:
            grant = Grant(
                home=home,
                incarnation=self.boards[home].incarnation,
                requester=requester,
                workspace=workspace,
                request=request,
                tokens=tokens,
                basis=self.homes[home].get_basis(workspace),
            )
            self.in_flight.append(grant)
        return refused

    def deliver(self, grant: Grant) -> bool:
        """Deliver a grant; its request runs and counts as spending it in full."""
        self.in_flight.remove(grant)
        grants = self.grants[grant.requester]
        if not grants.accept(
            grant.incarnation,
            grant.workspace,
            grant.tokens,
            host=grant.home,
            basis=grant.basis,
        ):
            if self.boards[grant.home].incarnation == grant.incarnation:
                release = SettledHold(
                    workspace=grant.workspace, request=grant.request, spent=0
                )
                self.homes[grant.home].settle((release,))
            return False
        workspace = grant.workspace
        self.spent[workspace] = self.spent.get(workspace, 0) + grant.tokens
        self.running[grant.request] = grant
        return True

    async def hold(
        self, home: str, requester: str, workspace: str, request: str, tokens: int
    ) -> bool:
        """Request a hold and deliver its grant; return whether the request runs."""
        if (
            await self.request_grant(home, requester, workspace, request, tokens)
            is not None
        ):
            return False
        return self.deliver(self.in_flight[-1])

    def settle(self, request: str, spent: int) -> None:
        """End a running request and settle its hold with what it spent."""
        grant = self.running.pop(request)
        self.spent[grant.workspace] -= grant.tokens - spent
        grants = self.grants[grant.requester]
        grants.settle(grant.incarnation, grant.workspace, grant.tokens, spent)
        if self.boards[grant.home].incarnation == grant.incarnation:
            item = SettledHold(workspace=grant.workspace, request=request, spent=spent)
            self.homes[grant.home].settle((item,))


def pick_faults(store: KeyedStore, generator: random.Random) -> None:
    """Set new random faults of the store."""
    store.is_down = generator.random() < 0.2
    store.refused_call_share = generator.choice([0.0, 0.0, 0.3])
    store.lost_reply_share = generator.choice([0.0, 0.0, 0.4])
    store.delayed_write_share = generator.choice([0.0, 0.0, 0.4])
