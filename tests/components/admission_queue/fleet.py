"""Run the admission homes and clients of several hosts in an emulated network."""

import asyncio
import random
from collections.abc import Mapping, Sequence
from contextlib import ExitStack
from dataclasses import replace
from types import SimpleNamespace
from typing import Any, cast

from bench.emulator.network import EmulatedLink, EmulatedLinks, Network
from tests.components.boards import make_board
from tests.components.forwarding.common import REQUEST, make_route, make_target
from trefoilstage.components.admission_queue.capacity import PLACES_PER_SLOT
from trefoilstage.components.admission_queue.client import AdmissionClient
from trefoilstage.components.admission_queue.home import AdmissionHome
from trefoilstage.components.admission_queue.messages import PlaceRequest
from trefoilstage.components.admission_queue.own_work import (
    IDLE_REPEAT_INTERVAL_S,
    Place,
)
from trefoilstage.components.fleet.messages import FLEET_CODEC
from trefoilstage.components.forwarding.models import (
    Engine,
    FleetConfiguration,
    TargetEntry,
    TargetService,
    Workspace,
)
from trefoilstage.components.forwarding.request_state import RequestState
from trefoilstage.components.peers.link import PeerLink
from trefoilstage.components.peers.server import PeerServer
from trefoilstage.helpers.verdict import Refusal
from trefoilstage.timer import TimerService
from trefoilstage.util.hashing import rank_by_rendezvous

SERVICE = "booking"
N_TARGETS = 3
SLOTS = 6
N_SLOTS = N_TARGETS * SLOTS
DEADLINE_S = 0.8
Answer = Place | Refusal | None


class HangingLink(EmulatedLink):
    """Deliver calls also after their caller stopped waiting, as a real link does."""

    def __init__(self, *, url: str, network: Network, hung: Mapping[str, float]):
        super().__init__(url=url, network=network)
        self._hung = hung

    async def _deliver(self, message: Any) -> Any:
        return await asyncio.shield(asyncio.create_task(self._deliver_later(message)))

    async def _deliver_later(self, message: Any) -> Any:
        await asyncio.sleep(self._hung.get(self.url, 0.0))
        return await super()._deliver(message)


class HangingLinks(EmulatedLinks):
    """Provide the links of one host; messages to hung hosts arrive late."""

    def __init__(self, *, network: Network, hung: Mapping[str, float]) -> None:
        super().__init__(network=network)
        self._hung = hung

    def get_link(self, url: str) -> PeerLink:
        """Return a link to a URL."""
        return HangingLink(url=url, network=self._network, hung=self._hung)


class AdmissionFleet:
    """Hold the parts of several hosts, and what each believes of the others."""

    def __init__(self, n_hosts: int, *, has_engines: bool = True) -> None:
        # Engines get one request for each slot.
        engine = Engine(slots=SLOTS, kv_tokens=0, tokens_per_event=1)
        self.engine = engine if has_engines else None
        self.n_places_each = SLOTS if has_engines else PLACES_PER_SLOT * SLOTS
        self.names = [f"host-{number:03}" for number in range(n_hosts)]
        self.network = Network()
        self.hung: dict[str, float] = {}  # seconds that messages to a host take
        self.live = dict.fromkeys(self.names, tuple(self.names))  # as each host sees
        self.boards = {name: make_board(name, self.names) for name in self.names}
        self.homes: dict[str, AdmissionHome] = {}
        self.clients: dict[str, AdmissionClient] = {}
        self.timers: dict[str, TimerService] = {}
        self.in_use: dict[str, ExitStack] = {}
        self.unusable = dict.fromkeys(self.names, frozenset[str]())  # targets, by host
        self.targets = [
            replace(make_target(f"t-{n}", service=SERVICE), slots=SLOTS)
            for n in range(N_TARGETS)
        ]
        self.n_requests = 0

    async def start(self) -> None:
        """Start all hosts, and let them report once."""
        for number, name in enumerate(self.names):
            self._make_host(name, number)
            for service in (self.homes[name], self.clients[name]):
                await service.start()
        await asyncio.sleep(0.5)

    def _make_host(self, name: str, number: int) -> None:
        board = self.boards[name]
        board.configuration = FleetConfiguration(
            services={
                SERVICE: TargetService(
                    name=SERVICE,
                    health_path="/",
                    max_connections=10,
                    engine=self.engine,
                )
            }
        )
        for target in self.targets:
            board.targets.apply_entry(target)
        membership = cast(Any, SimpleNamespace(list_live_hosts=lambda: self.live[name]))
        server = PeerServer(address="127.0.0.1", port=0, codec=FLEET_CODEC)
        self.network.servers[name] = server
        timer = self.timers[name] = TimerService()
        self.homes[name] = AdmissionHome(
            board=board,
            membership=membership,
            server=server,
            timer=timer,
            generator=random.Random(number),
        )
        self.clients[name] = AdmissionClient(
            board=board,
            membership=membership,
            home=self.homes[name],
            links=HangingLinks(network=self.network, hung=self.hung),
            timer=timer,
            generator=random.Random(number),
            list_unusable=lambda _: self.unusable[name],
        )

    def rank_homes(self) -> list[str]:
        """Return the hosts in the order in which they are the service's home."""
        return rank_by_rendezvous(SERVICE, self.names)

    def list_others(self) -> list[str]:
        """Return the hosts that are not the service's home."""
        return self.rank_homes()[1:]

    async def kill(self, name: str) -> None:
        """End a host; the others don't know yet."""
        self.network.servers.pop(name, None)
        for service in (self.clients[name], self.homes[name]):
            await service.stop()
        await self.timers[name].on_stop()

    def set_live(self, names: Sequence[str]) -> None:
        """Let all hosts know which of them are live."""
        self.live = dict.fromkeys(self.names, tuple(names))

    def make_state(self, *, workspace: str = "school") -> RequestState:
        """Return the state of a plain call that has just arrived."""
        now = asyncio.get_running_loop().time()
        self.n_requests += 1
        return RequestState(
            request=replace(REQUEST, request_id=f"r-{self.n_requests}"),
            body=b"",
            route=replace(make_route("/x/"), timeout_s=DEADLINE_S),
            workspace=Workspace(name=workspace, priority=None, prepaid_tokens=None),
            started_at=now,
            deadline=now + DEADLINE_S,
            service_name=SERVICE,
        )

    def make_request(self, name: str) -> PlaceRequest:
        """Return a host's request for a place."""
        request = self.clients[name]._make_request(self.make_state())
        return replace(request, wait_s=DEADLINE_S / 2)

    async def ask(self, name: str) -> Answer:
        """Let a host ask for a place, which is in use from then on."""
        state = self.make_state()
        answer = await self.clients[name].acquire(state)
        if isinstance(answer, Place):
            self.use(name, state, answer)
        return answer

    def use(self, name: str, state: RequestState, place: Place) -> None:
        """Send a request with a place."""
        target = next(t for t in self.targets if t.incarnation == place.target)
        stack = self.in_use[place.request] = ExitStack()
        stack.callback(self.clients[name].release, place)
        stack.enter_context(self.clients[name].count(state, target, place))

    def send(self, name: str, target: TargetEntry | None = None) -> ExitStack:
        """Count a request that a host sent without a place until it is closed."""
        sent = ExitStack()
        count = self.clients[name].count(
            self.make_state(), target or self.targets[0], None
        )
        sent.enter_context(count)
        return sent

    async def fill(self, hosts: Sequence[str]) -> list[ExitStack]:
        """Fill all places by requests without one, until all hosts know that."""
        sent = [
            self.send(hosts[n % len(hosts)], target)
            for n, target in enumerate(self.targets * self.n_places_each)
        ]
        await asyncio.sleep(IDLE_REPEAT_INTERVAL_S + 0.5)
        return sent

    async def ask_all(self, hosts: Sequence[str], n_each: int = 1) -> list[Answer]:
        """Let each host ask several times at once."""
        asking = [self.ask(name) for name in hosts for _ in range(n_each)]
        return list(await asyncio.gather(*asking))


def count_places(answers: Sequence[Answer]) -> int:
    """Return how many of the answers are places."""
    return sum(isinstance(answer, Place) for answer in answers)
