"""Build homes of accounts over a stand-in of the store, with a clock by hand."""

import random
from dataclasses import dataclass, field

from standins.keyed_store import KeyedStore
from trefoilstage.components.escrow.home import EscrowHome
from trefoilstage.components.escrow.messages import SettledHold
from trefoilstage.components.fleet.messages import FLEET_CODEC
from trefoilstage.components.forwarding.models import FleetConfiguration, Workspace
from trefoilstage.components.peers.server import PeerServer
from trefoilstage.fleet_board import FleetBoard
from trefoilstage.phase import Phase
from trefoilstage.timer import TimerService

WORKSPACE = "brest-school"
OTHER_WORKSPACE = "quimper-crew"


class ManualTimer(TimerService):
    """Tell a time that the test sets."""

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
class Bank:
    """Hold hosts that share a store, and what was really spent."""

    prepaid: int
    store: KeyedStore = field(default_factory=KeyedStore)
    timer: ManualTimer = field(default_factory=ManualTimer)
    homes: dict[str, EscrowHome] = field(default_factory=dict)
    boards: dict[str, FleetBoard] = field(default_factory=dict)
    home: str = ""
    n_starts: int = 0
    spent: dict[str, int] = field(default_factory=dict)
    running: dict[str, tuple[str, str, int]] = field(default_factory=dict)

    def start(self, host: str) -> EscrowHome:
        """Start a new incarnation of a host; what an earlier one knew is lost."""
        self.n_starts += 1
        board = FleetBoard(
            host=host,
            incarnation=f"{host}-{self.n_starts}",
            data_center="brest",
            phase=Phase.SERVING,
            configuration=make_configuration(self.prepaid),
        )
        home = EscrowHome(
            board=board,
            store=self.store,
            server=PeerServer(address="127.0.0.1", port=0, codec=FLEET_CODEC),
            timer=self.timer,
            n_partitions=1,
            is_home=lambda workspace: self.home == host,
        )
        self.homes[host] = home
        self.boards[host] = board
        self.running = {
            request: item for request, item in self.running.items() if item[0] != host
        }
        return home

    async def hold(self, host: str, workspace: str, request: str, tokens: int) -> bool:
        """Hold tokens for a request and count them as spent, as if it ran in full."""
        refused = await self.homes[host].hold(workspace, request, tokens)
        if refused is None:
            self.spent[workspace] = self.spent.get(workspace, 0) + tokens
            self.running[request] = (host, workspace, tokens)
        return refused is None

    def settle(self, request: str, spent: int) -> None:
        """End a request that spent less than it held."""
        host, workspace, tokens = self.running.pop(request)
        self.spent[workspace] -= tokens - spent
        item = SettledHold(workspace=workspace, request=request, spent=spent)
        self.homes[host].settle((item,))


def pick_faults(store: KeyedStore, generator: random.Random) -> None:
    """Set the store's faults anew."""
    store.down = generator.random() < 0.2
    store.refuse_share = generator.choice([0.0, 0.0, 0.3])
    store.lose_share = generator.choice([0.0, 0.0, 0.4])
    store.late_share = generator.choice([0.0, 0.0, 0.4])
