"""Run the product's parts of one host in the emulated network."""

import asyncio
import itertools
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from bench.emulator.network import EmulatedLinks, Network, SharedStore, StoreDoor
from bench.emulator.sender import EmulatedProbe, EmulatedSender
from trefoilstage.components.fleet.board_updater import BoardUpdater
from trefoilstage.components.fleet.messages import FLEET_CODEC
from trefoilstage.components.forwarding.models import (
    CallerRequest,
    FleetConfiguration,
    Route,
    TargetEntry,
    Workspace,
)
from trefoilstage.components.forwarding.reply import CallerReply
from trefoilstage.components.forwarding.request_state import RequestState
from trefoilstage.components.peers.server import PeerServer
from trefoilstage.exceptions import TrefoilstageError
from trefoilstage.fleet_board import FleetBoard
from trefoilstage.fleet_parts import FleetParts, make_fleet_parts
from trefoilstage.fleet_settings import FleetSettings
from trefoilstage.helpers.verdict import Refusal
from trefoilstage.phase import Phase
from trefoilstage.util.process_start import ProcessStart

CONFIGURATION_KEY = "config"
# A process is back this long after its end, besides the time that it stays away.
START_S = 0.5
READY_POLL_S = 0.02
MEET_S = 0.6
PORT = 1


class HostLostError(TrefoilstageError):
    """Report that the host that took a request has ended."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Registry:
    """Hold the objects that the store's bytes stand for."""

    configurations: Mapping[bytes, FleetConfiguration]
    entries: Mapping[bytes, TargetEntry]


class EmulatedHost:
    """Start, kill and start again one host."""

    def __init__(
        self,
        *,
        name: str,
        network: Network,
        shared: SharedStore,
        registry: Registry,
        sender: EmulatedSender,
        probe: EmulatedProbe,
    ) -> None:
        self.name = name
        self._network = network
        self._shared = shared
        self._registry = registry
        self._sender = sender
        self._probe = probe
        self._numbers = itertools.count(1)
        self._boot = 1
        self._requests: set[asyncio.Task[Refusal | None]] = set()
        self._parts: FleetParts | None = None
        self._board: FleetBoard | None = None
        self._door: StoreDoor | None = None

    @property
    def serving(self) -> bool:
        """Tell whether the host takes callers."""
        return self._board is not None and self._board.phase is Phase.SERVING

    @property
    def running(self) -> bool:
        """Tell whether the host's process runs."""
        return self._parts is not None

    async def start(self) -> None:
        """Start a new incarnation, which knows nothing of the last."""
        settings = FleetSettings(
            host=self.name,
            data_center="brest",
            address=self.name,
            caller_port=PORT,
            ready_port=PORT,
            peer_port=PORT,
            store_url="http://127.0.0.1:1",
        )
        board = FleetBoard(
            host=self.name,
            incarnation=f"{self.name}-{next(self._numbers)}",
            data_center="brest",
        )
        door = StoreDoor(host=self.name, shared=self._shared)
        peers = PeerServer(address=self.name, port=PORT, codec=FLEET_CODEC)
        parts = make_fleet_parts(
            settings=settings,
            board=board,
            store=door,
            board_updater=BoardUpdater(
                board=board,
                configuration_key=CONFIGURATION_KEY,
                decode_configuration=self._registry.configurations.__getitem__,
                decode_target=lambda name, data: self._registry.entries[data],
            ),
            links=EmulatedLinks(network=self._network),
            peers=peers,
            sender=self._sender,
            probe=self._probe,
            process_start=ProcessStart(
                boot=f"boot-{self._boot}",
                monotonic_s=asyncio.get_running_loop().time(),
                offset=0.0,
            ),
        )
        self._board, self._door, self._parts = board, door, parts
        self._network.servers[parts.membership.peer_url] = peers
        for service in parts.list_services():
            await service.start()
        self._starting = asyncio.create_task(self._become_ready(board, parts))

    async def _become_ready(self, board: FleetBoard, parts: FleetParts) -> None:
        while board.configuration is None:
            await asyncio.sleep(READY_POLL_S)
        loop = asyncio.get_running_loop()
        met_by = loop.time() + MEET_S
        while not parts.membership.has_heard_all_hosts() and loop.time() < met_by:
            await asyncio.sleep(READY_POLL_S)
        board.phase = Phase.SERVING
        parts.membership.send_heartbeats_now()

    async def kill(self, *, power: bool) -> None:
        """End the process at once; without power its steady clock begins anew."""
        parts, door = self._parts, self._door
        if parts is None or door is None:
            return
        self._boot += power
        door.killed = True
        self._network.servers.pop(parts.membership.peer_url, None)
        self._starting.cancel()
        self._parts = self._board = None
        for task in list(self._requests):
            task.cancel()
        await parts.timer.on_stop()
        for service in parts.list_services():
            await service.stop()

    async def serve(
        self,
        *,
        request: CallerRequest,
        route: Route,
        workspace: Workspace,
        reply: CallerReply,
    ) -> Refusal | None:
        """Answer a caller; return why it gets no answer, or raise HostLostError."""
        parts = self._parts
        if parts is None:
            raise HostLostError("refused")
        now = asyncio.get_running_loop().time()
        state = RequestState(
            request=request,
            # Each caller asks for something else; its repeats bear the same id.
            body=request.request_id.encode(),
            route=route,
            workspace=workspace,
            started_at=now,
            deadline=now + min(route.timeout_s, request.deadline_s or route.timeout_s),
        )
        task: asyncio.Task[Any] = asyncio.create_task(parts.pipeline.run(state, reply))
        self._requests.add(task)
        task.add_done_callback(self._requests.discard)
        try:
            return await asyncio.shield(task)
        except asyncio.CancelledError:
            if task.cancelled():
                raise HostLostError("reset") from None
            # The caller has left.
            task.cancel()
            raise
