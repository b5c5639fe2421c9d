"""Run the real components of one host in the emulated network."""

import asyncio
import itertools
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from bench.emulator.attempts import get_first_id
from bench.emulator.network import (
    EmulatedLinks,
    EmulatedStreams,
    Network,
    SharedStore,
    StoreClient,
)
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
EVACUATION_PREFIX = "evacuate/"
# A process takes this long to start, in addition to the time that it stays down.
RESTART_S = 0.5
READY_POLL_S = 0.02
# The limit on requests that reach a cold engine in a second, as on the platform.
COLD_RATE_FACTOR = 1.5
COLD_RATE_SLACK = 5.0
MEET_PEERS_TIMEOUT_S = 0.6
PORT = 1


class HostLostError(TrefoilstageError):
    """Report that the host which accepted a request was killed or is not running."""


@dataclass(frozen=True, kw_only=True, slots=True)
class StoredObjects:
    """Map the bytes in the store to objects, so that nothing has to be decoded."""

    configurations: Mapping[bytes, FleetConfiguration]
    entries: Mapping[bytes, TargetEntry]


class EmulatedHost:
    """Represent one host, which can be killed and started again."""

    def __init__(
        self,
        *,
        name: str,
        network: Network,
        shared_store: SharedStore,
        stored_objects: StoredObjects,
        sender: EmulatedSender,
        probe: EmulatedProbe,
        has_admission_queue: bool = False,
    ) -> None:
        self._has_admission_queue = has_admission_queue
        self.name = name
        self._network = network
        self._shared_store = shared_store
        self._stored_objects = stored_objects
        self._sender = sender
        self._probe = probe
        self._incarnation_numbers = itertools.count(1)
        self._n_boots = 1
        # A dictionary, because sets of tasks have another order in each run.
        self._requests: dict[asyncio.Task[Refusal | None], None] = {}
        self._parts: FleetParts | None = None
        self._board: FleetBoard | None = None
        self._store_client: StoreClient | None = None

    @property
    def is_serving(self) -> bool:
        """Return whether the host accepts callers."""
        return self._board is not None and self._board.phase is Phase.SERVING

    @property
    def is_running(self) -> bool:
        """Return whether the host's process is running."""
        return self._parts is not None

    @property
    def n_crash_reports(self) -> int:
        """Return how many crashes of targets the host knows of."""
        if self._parts is None:
            return 0
        return len(self._parts.crash_watcher.evidence.seen_at)

    async def start(self) -> None:
        """Start a new incarnation with no state of the previous one."""
        settings = FleetSettings(
            host=self.name,
            data_center="brest",
            address=self.name,
            caller_port=PORT,
            ready_port=PORT,
            peer_port=PORT,
            store_url="http://127.0.0.1:1",
            cold_rate_factor=COLD_RATE_FACTOR,
            cold_rate_slack=COLD_RATE_SLACK,
            has_admission_queue=self._has_admission_queue,
        )
        board = FleetBoard(
            host=self.name,
            incarnation=f"{self.name}-{next(self._incarnation_numbers)}",
            data_center="brest",
        )
        store_client = StoreClient(host=self.name, shared_store=self._shared_store)
        peer_server = PeerServer(address=self.name, port=PORT, codec=FLEET_CODEC)
        parts = make_fleet_parts(
            settings=settings,
            board=board,
            store=store_client,
            board_updater=BoardUpdater(
                board=board,
                configuration_key=CONFIGURATION_KEY,
                evacuation_prefix=EVACUATION_PREFIX,
                decode_configuration=self._stored_objects.configurations.__getitem__,
                decode_target=lambda name, data: self._stored_objects.entries[data],
            ),
            links=EmulatedLinks(network=self._network),
            peer_server=peer_server,
            streams=EmulatedStreams(network=self._network),
            sender=self._sender,
            probe=self._probe,
            start_probe=self._probe,
            process_start=ProcessStart(
                boot=f"boot-{self._n_boots}",
                monotonic_s=asyncio.get_running_loop().time(),
                offset=0.0,
            ),
        )
        self._board, self._store_client, self._parts = board, store_client, parts
        self._network.servers[parts.membership.peer_url] = peer_server
        for service in parts.list_services():
            await service.start()
        self._starting = asyncio.create_task(self._become_ready(board, parts))

    async def _become_ready(self, board: FleetBoard, parts: FleetParts) -> None:
        while board.configuration is None:
            await asyncio.sleep(READY_POLL_S)
        loop = asyncio.get_running_loop()
        wait_until = loop.time() + MEET_PEERS_TIMEOUT_S
        while not parts.membership.has_heard_all_hosts() and loop.time() < wait_until:
            await asyncio.sleep(READY_POLL_S)
        board.phase = Phase.SERVING
        parts.membership.send_heartbeats_now()

    async def kill(self, *, loses_power: bool) -> None:
        """Kill the process; a loss of power also starts a new boot."""
        parts, store_client = self._parts, self._store_client
        if parts is None or store_client is None:
            return
        self._n_boots += loses_power
        store_client.is_killed = True
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
        """Serve a caller; return a refusal if there is one, or raise HostLostError."""
        parts = self._parts
        if parts is None:
            raise HostLostError("refused")
        now = asyncio.get_running_loop().time()
        state = RequestState(
            request=request,
            # Callers send different bodies; retries of one caller repeat its body.
            body=get_first_id(request.request_id).encode(),
            route=route,
            workspace=workspace,
            started_at=now,
            deadline=now + min(route.timeout_s, request.deadline_s or route.timeout_s),
        )
        task: asyncio.Task[Any] = asyncio.create_task(parts.pipeline.run(state, reply))
        self._requests[task] = None
        task.add_done_callback(self._requests.pop)
        try:
            return await asyncio.shield(task)
        except asyncio.CancelledError:
            if task.cancelled():
                raise HostLostError("reset") from None
            # The caller has given up.
            task.cancel()
            raise
