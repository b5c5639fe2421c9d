"""Run a host that forwards to registered targets, from its start to its end."""

import asyncio
import json
import sys
import uuid

from mode import Service

from trefoilstage.components.crashes.probe import ConnectProbe
from trefoilstage.components.fleet.board_updater import BoardUpdater
from trefoilstage.components.fleet.messages import FLEET_CODEC
from trefoilstage.components.fleet.metrics import MetricsServer
from trefoilstage.components.forwarding.sender import TargetSender, open_target_session
from trefoilstage.components.forwarding.server import ForwardingServer
from trefoilstage.components.forwarding.translator import RequestTranslator
from trefoilstage.components.peers.links import PeerLinks
from trefoilstage.components.peers.server import PeerServer
from trefoilstage.components.views.store import Store
from trefoilstage.fleet_board import FleetBoard
from trefoilstage.fleet_parts import make_fleet_parts
from trefoilstage.fleet_settings import FleetSettings
from trefoilstage.helpers.dump import StateRegistry
from trefoilstage.helpers.events import Event, describe_error, log_event
from trefoilstage.helpers.log_line_writer import LineWriter
from trefoilstage.phase import Phase
from trefoilstage.util.process_start import ProcessStart

READY_POLL_S = 0.02
# Peers that run answer within milliseconds; the store may name some that are gone.
MEET_S = 0.6
# A stream takes 4 s at most in nine cases of ten; begun later, it would be cut.
ACCEPT_WHILE_DRAINING_S = 3.0
# A call to a plain service takes at most this long.
QUICK_S = 0.5
# Callers, and a balancer that uses every host, learn of the end of the last stream a
# moment later. Without this time their calls met a port that was closed 12 to 25 ms
# after it: 5 of 66 shutdowns beside busy processes refused a connection. It covers the
# 200 ms within which the platform's rules let a planned stop cut a request, twice, as
# a busy host or caller is late itself.
LAST_CALLS_S = 0.4
# Time kept at the end of the grace to give tokens back, and to stop.
LEAVE_S = 0.6
STOP_S = 0.6


class FleetHost(Service):
    """Run every part of one forwarding host on one loop."""

    def __init__(
        self,
        *,
        settings: FleetSettings,
        store: Store,
        translator: RequestTranslator,
        board_updater: BoardUpdater,
        board: FleetBoard,
        process_start: ProcessStart,
        lines: LineWriter,
    ) -> None:
        super().__init__()
        self._lines = lines
        self._process_start = process_start
        self._settings = settings
        self._store = store
        self._translator = translator
        self._board_updater = board_updater
        self._board = board
        self.drain_requested = asyncio.Event()
        self._registry = StateRegistry()

    async def on_start(self) -> None:
        """Build the parts and start them, inner ones first."""
        settings = self._settings
        self._session = open_target_session(settings.address, self._board)
        links = PeerLinks(
            outbound_address=settings.address,
            codec=FLEET_CODEC,
            round_trips=self._board.round_trips,
        )
        peers = PeerServer(
            address=settings.address, port=settings.peer_port, codec=FLEET_CODEC
        )
        parts = make_fleet_parts(
            settings=settings,
            board=self._board,
            store=self._store,
            board_updater=self._board_updater,
            links=links,
            peers=peers,
            sender=TargetSender(session=self._session, translator=self._translator),
            probe=ConnectProbe(outbound_address=settings.address),
            process_start=self._process_start,
        )
        self._membership = parts.membership
        self._home = parts.home
        self._escrow = parts.escrow
        self._server = ForwardingServer(
            board=self._board,
            settings=settings,
            translator=self._translator,
            pipeline=parts.pipeline,
        )
        metrics = MetricsServer(
            board=self._board,
            timer=parts.timer,
            lines=self._lines,
            address=settings.address,
            port=settings.metrics_port,
            get_accounts=self._home.list_accounts,
            count_active=lambda: self._server.n_active,
            count_blocked=lambda: len(parts.crashes.evidence.blocked_fingerprints),
        )
        self._registry.register("board", lambda: self._board)
        self._registry.register("crashes", parts.crashes.evidence.get_seen_times)
        self._registry.register("settings", lambda: settings)
        self._registry.register("accounts", self._home.list_accounts)
        services: list[Service] = [parts.timer, metrics, links, peers]
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
        )

    async def _become_ready(self) -> None:
        """Serve once a configuration is known and the other hosts were heard.

        A host that has heard nobody takes itself for the home of every workspace,
        and would draw a stock for each.
        """
        loop = asyncio.get_running_loop()
        while self._board.configuration is None:
            await asyncio.sleep(READY_POLL_S)
        met_by = loop.time() + MEET_S
        while not self._membership.has_heard_all_hosts() and loop.time() < met_by:
            await asyncio.sleep(READY_POLL_S)
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

    async def run(self) -> None:
        """Serve until told to drain, or until a part fails."""
        await self.wait(self.drain_requested)
        if self.crashed:
            log_event(Event.HOST_CRASHED, error=describe_error(self.crash_reason))
            raise self.crash_reason or RuntimeError("a part failed")
        await self.drain()

    async def drain(self) -> None:
        """Take no new callers, finish the requests in flight, give tokens back."""
        loop = asyncio.get_running_loop()
        ends = loop.time() + self._settings.shutdown_grace_s - LEAVE_S - STOP_S
        self._board.phase = Phase.DRAINING
        self._membership.send_heartbeats_now()
        # Its successor as home draws at once; what lies here is missing there.
        self.add_future(self._home.return_unused())
        log_event(
            Event.HOST_DRAINING, host=self._board.host, active=self._server.n_active
        )
        # The balancer needs two misses, and where most hosts of a data centre drain
        # it goes on using all of them. A closed port would cost those callers their
        # request, so the port stays open to the end.
        await asyncio.sleep(max(0.0, min(ACCEPT_WHILE_DRAINING_S, ends - loop.time())))
        self._server.refuse_streams()
        # Where most hosts of a data centre drain, quick calls never cease. Waiting for
        # a pause among them, a host stayed to the end of its grace and refused streams
        # that its successor could have served: 204 within 8 s of hosts stopped in turn.
        while loop.time() < ends - QUICK_S and self._server.n_streams:
            await asyncio.sleep(READY_POLL_S)
        last_calls_until = min(loop.time() + LAST_CALLS_S, ends - QUICK_S)
        await asyncio.sleep(max(0.0, last_calls_until - loop.time()))
        self._server.refuse_all_requests()
        log_event(
            Event.HOST_LEAVING,
            host=self._board.host,
            active=self._server.n_active,
            streams=self._server.n_streams,
            grace_left_s=ends - loop.time(),
        )
        ended = await self._server.drain(max(0.0, ends - loop.time()))
        if not ended:
            log_event(Event.DRAIN_INCOMPLETE, host=self._board.host)
            await self._server.cancel_requests()
        await self._leave()

    async def _leave(self) -> None:
        try:
            async with asyncio.timeout(LEAVE_S):
                await self._escrow.flush()
                await self._home.return_unused()
                await self._membership.withdraw()
        except TimeoutError:
            log_event(Event.LEAVE_INCOMPLETE, host=self._board.host)

    async def on_shutdown(self) -> None:
        """Close the HTTP connections."""
        await self._session.close()
        log_event(Event.HOST_STOPPED, host=self._board.host)

    def write_dump(self) -> None:
        """Write the whole state to standard error as one JSON line."""
        sys.stderr.write(json.dumps(self._registry.dump()) + "\n")


def make_board(settings: FleetSettings) -> FleetBoard:
    """Return the board of a new incarnation of a host."""
    return FleetBoard(
        host=settings.host,
        incarnation=f"{settings.host}-{uuid.uuid4().hex[:12]}",
        data_center=settings.data_center,
    )
