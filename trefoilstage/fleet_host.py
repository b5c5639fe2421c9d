"""Run a host that forwards requests to registered targets, from start to shutdown."""

import asyncio
import json
import socket
import sys
import uuid

from mode import Service

from trefoilstage.components.connections.limits import plan_client_limits
from trefoilstage.components.connections.site import ClientConnections
from trefoilstage.components.crashes.probe import ConnectProbe
from trefoilstage.components.fleet.board_updater import BoardUpdater
from trefoilstage.components.fleet.messages import FLEET_CODEC
from trefoilstage.components.fleet.metrics_server import MetricsServer
from trefoilstage.components.forwarding.report_probe import ReportProbe
from trefoilstage.components.forwarding.sender import (
    TargetSender,
    open_probe_session,
    open_target_session,
)
from trefoilstage.components.forwarding.server import ForwardingServer
from trefoilstage.components.forwarding.shutdown_schedule import ShutdownSchedule
from trefoilstage.components.forwarding.translator import RequestTranslator
from trefoilstage.components.peers.links import PeerLinks
from trefoilstage.components.peers.server import PeerServer
from trefoilstage.components.peers.streams import PeerStreams
from trefoilstage.components.views.store import Store
from trefoilstage.fleet_board import FleetBoard
from trefoilstage.fleet_parts import make_fleet_parts
from trefoilstage.fleet_settings import FleetSettings
from trefoilstage.helpers.dump import StateRegistry
from trefoilstage.helpers.events import Event, describe_error, log_event
from trefoilstage.helpers.log_line_writer import LineWriter
from trefoilstage.phase import Phase
from trefoilstage.util.loop_turns import TURN_INTERVAL_S, LoopTurns
from trefoilstage.util.process_start import ProcessStart

POLL_INTERVAL_S = 0.02
# Running peers respond within milliseconds; the store may list hosts that have ended.
MEET_PEERS_TIMEOUT_S = 0.6
# Callers, and a balancer that uses every host, notice the end of the last stream
# slightly later. Without this time the port closed 12 to 25 ms after that end, and 5 of
# 66 shutdowns beside busy processes refused a connection. The platform's rules allow a
# planned stop to cut requests within 200 ms; this is twice as long, as a busy host or
# caller may be late itself.
ACCEPT_AFTER_LAST_STREAM_S = 0.4
# Of the reserve of a shutdown: to return tokens. A host that leaves early must not wait
# for a store that is down, as it could be replaced already.
LEAVE_SHARE = 0.5


class FleetHost(Service):
    """Run all components of a forwarding host on one event loop."""

    def __init__(
        self,
        *,
        settings: FleetSettings,
        store: Store,
        translator: RequestTranslator,
        board_updater: BoardUpdater,
        board: FleetBoard,
        process_start: ProcessStart,
        line_writer: LineWriter,
        caller_socket: socket.socket | None = None,
    ) -> None:
        super().__init__()
        self._caller_socket = caller_socket
        self._line_writer = line_writer
        self._process_start = process_start
        self._settings = settings
        self._store = store
        self._translator = translator
        self._board_updater = board_updater
        self._board = board
        self._drain_requested = asyncio.Event()
        self._turns = LoopTurns()
        self._registry = StateRegistry()

    async def on_start(self) -> None:
        """Create the components and start each after those that it depends on."""
        await self._record_turn()
        settings = self._settings
        self._session = open_target_session(settings.address, self._board)
        self._probe_session = open_probe_session(settings.address)
        links = PeerLinks(
            outbound_address=settings.address,
            codec=FLEET_CODEC,
            round_trips=self._board.round_trips,
        )
        connections = ClientConnections(
            limits=plan_client_limits(settings.memory_mb, settings.max_descriptors)
        )
        peer_server = PeerServer(
            address=settings.address,
            port=settings.peer_port,
            codec=FLEET_CODEC,
            connections=connections,
        )
        streams = PeerStreams(outbound_address=settings.address, codec=FLEET_CODEC)
        parts = make_fleet_parts(
            settings=settings,
            board=self._board,
            store=self._store,
            board_updater=self._board_updater,
            links=links,
            peer_server=peer_server,
            streams=streams,
            sender=TargetSender(session=self._session, translator=self._translator),
            probe=ConnectProbe(outbound_address=settings.address),
            start_probe=ReportProbe(
                session=self._session,
                new_session=self._probe_session,
                translator=self._translator,
            ),
            process_start=self._process_start,
        )
        parts.timer.subscribe(
            name="loop_turns", interval_s=TURN_INTERVAL_S, callback=self._record_turn
        )
        self._membership = parts.membership
        self._home = parts.home
        self._escrow = parts.escrow
        self._peer_sends = parts.peer_sends
        self._server = ForwardingServer(
            board=self._board,
            settings=settings,
            translator=self._translator,
            pipeline=parts.pipeline,
            connections=connections,
            caller_socket=self._caller_socket,
        )
        metrics = MetricsServer(
            board=self._board,
            timer=parts.timer,
            line_writer=self._line_writer,
            address=settings.address,
            port=settings.metrics_port,
            connections=connections,
            get_accounts=self._home.list_accounts,
            count_active=lambda: self._server.n_active,
            count_waiting_for_tokens=lambda: parts.escrow.n_waiting,
            count_blocked=lambda: parts.crash_watcher.evidence.causes.n_causes,
            count_known_streams=lambda: parts.stream_versions.n_known,
            count_waiting_for_places=parts.admission_home.count_waiting
            if parts.admission_home
            else None,
        )
        self._registry.register("board", lambda: self._board)
        self._registry.register("crashes", parts.crash_watcher.evidence.get_seen_times)
        self._registry.register(
            "stream_versions", parts.stream_versions.count_by_version
        )
        self._registry.register("permits", parts.permits.list_granted)
        self._registry.register("fetches", parts.chooser.get_transfers)
        if parts.admission_home is not None:
            self._registry.register("admission", parts.admission_home.describe)
        self._registry.register("settings", lambda: settings)
        self._registry.register("accounts", self._home.list_accounts)
        services: list[Service] = [parts.timer, metrics, links, streams, peer_server]
        services += [*parts.list_services(), self._server]
        for service in services:
            await self.add_runtime_dependency(service)
        self.add_future(self._become_ready())
        log_event(
            Event.HOST_STARTED,
            host=self._board.host,
            incarnation=self._board.incarnation,
            data_center=self._board.data_center,
            caller_port=self._server.caller_port,
            ready_port=self._server.ready_port,
            listened_early=self._caller_socket is not None,
        )

    async def _become_ready(self) -> None:
        """Start serving once a configuration is known and the peers have responded.

        The home of a workspace is the host that draws tokens for it. A host without
        a message from any peer would act as the home of every workspace and draw for
        each.
        """
        loop = asyncio.get_running_loop()
        while self._board.configuration is None:
            await asyncio.sleep(POLL_INTERVAL_S)
        meet_peers_until = loop.time() + MEET_PEERS_TIMEOUT_S
        while (
            not self._membership.has_heard_all_hosts()
            and loop.time() < meet_peers_until
        ):
            await asyncio.sleep(POLL_INTERVAL_S)
        if self._board.phase is not Phase.STARTING:
            return
        self._board.phase = Phase.SERVING
        self._membership.send_heartbeats_now()
        log_event(
            Event.HOST_READY,
            host=self._board.host,
            version=self._board.configuration.version,
            peers=len(self._board.peers),
        )

    async def _record_turn(self) -> None:
        self._turns.record(asyncio.get_running_loop().time())

    def request_drain(self) -> None:
        """Start the time of the shutdown, also while the host still starts."""
        if self._board.shutdown is None:
            now = asyncio.get_running_loop().time()
            self._board.shutdown = ShutdownSchedule(
                started_at=now,
                grace_s=self._settings.shutdown_grace_s,
                signal_after=self._turns.get_time_before_signal(now),
            )
            self._drain_requested.set()

    async def run(self) -> None:
        """Serve until a drain is requested or a component fails."""
        await self.wait(self._drain_requested)
        if self.crashed:
            log_event(Event.HOST_CRASHED, error=describe_error(self.crash_reason))
            raise self.crash_reason or RuntimeError("a component of the host failed")
        if self._board.shutdown is not None:
            await self._drain(self._board.shutdown)

    async def _drain(self, schedule: ShutdownSchedule) -> None:
        """Stop accepting requests, finish those in flight and return unused tokens."""
        loop = asyncio.get_running_loop()
        self._board.phase = Phase.DRAINING
        loop.call_at(schedule.read_ahead_at, self._server.read_ahead)
        self._membership.send_heartbeats_now()
        # The next home draws immediately and cannot use tokens that stay here.
        self.add_future(self._home.return_unused())
        log_event(
            Event.HOST_DRAINING, host=self._board.host, active=self._server.n_active
        )
        # The balancer removes a host after two failed checks, and keeps using all hosts
        # of a data centre if most of them drain. The requests that it still sends here
        # would fail at a closed port, so the port stays open until the end.
        await asyncio.sleep(schedule.accepts_all_until - loop.time())
        # If most hosts of a data centre drain, plain calls never stop arriving. A host
        # that waited for a pause between them stayed until the end of its grace and
        # refused streams that its replacement could have served: 204 within 8 s of a
        # rolling stop.
        while loop.time() < schedule.requests_end_at and self._server.n_streams:
            await asyncio.sleep(POLL_INTERVAL_S)
        left_s = schedule.requests_end_at - loop.time()
        await asyncio.sleep(max(0.0, min(ACCEPT_AFTER_LAST_STREAM_S, left_s)))
        self._server.refuse_all_requests()
        log_event(
            Event.HOST_LEAVING,
            host=self._board.host,
            active=self._server.n_active,
            streams=self._server.n_streams,
            grace_left_s=schedule.requests_end_at - loop.time(),
        )
        all_ended = await self._server.drain(schedule.requests_end_at - loop.time())
        await self._peer_sends.drain(schedule.requests_end_at - loop.time())
        if not all_ended:
            log_event(Event.DRAIN_INCOMPLETE, host=self._board.host)
            await self._server.end_requests()
        left_s = schedule.leave_until - loop.time()
        await self._leave(min(left_s, LEAVE_SHARE * schedule.reserve_s))
        # Callers may still read their answers.
        await self._server.drain(schedule.leave_until - loop.time())

    async def _leave(self, timeout_s: float) -> None:
        try:
            async with asyncio.timeout(timeout_s):
                await self._escrow.flush()
                await self._home.return_unused()
                await self._membership.withdraw()
        except TimeoutError:
            log_event(Event.LEAVE_INCOMPLETE, host=self._board.host)

    async def on_shutdown(self) -> None:
        """Close the HTTP connections."""
        await self._session.close()
        await self._probe_session.close()
        log_event(Event.HOST_STOPPED, host=self._board.host)

    def write_state_dump(self) -> None:
        """Write the state dump to standard error as one JSON line."""
        sys.stderr.write(json.dumps(self._registry.dump()) + "\n")


def make_board(settings: FleetSettings) -> FleetBoard:
    """Create the board of a new incarnation, i.e. one run of the host's process."""
    return FleetBoard(
        host=settings.host,
        incarnation=f"{settings.host}-{uuid.uuid4().hex[:12]}",
        data_center=settings.data_center,
    )
