"""Serve a forwarding host's metrics in a text format."""

import time
from collections.abc import Callable, Sequence

import eliot
from aiohttp import web
from mode import Service

from trefoilstage.components.connections.site import ClientConnections, MeteredSite
from trefoilstage.components.escrow.account import EscrowAccount
from trefoilstage.fleet_board import FleetBoard
from trefoilstage.helpers.events import Event, log_event
from trefoilstage.helpers.log_line_writer import LineWriter
from trefoilstage.helpers.metrics_page import CONTENT_TYPE, MetricsPage
from trefoilstage.timer import TimerService
from trefoilstage.util.stalls import StallDetector

PATH = "/metrics"
# Interval at which log lines that a slow reader has not accepted are retried.
FLUSH_INTERVAL_S = 0.25
# Rendering takes milliseconds, which clients that ask often would take from others.
MAX_AGE_S = 0.25


class MetricsServer(Service):
    """Count events and serve the counts over HTTP."""

    def __init__(
        self,
        *,
        board: FleetBoard,
        timer: TimerService,
        line_writer: LineWriter,
        address: str,
        port: int,
        connections: ClientConnections,
        get_accounts: Callable[[], Sequence[EscrowAccount]],
        count_active: Callable[[], int],
        count_waiting_for_tokens: Callable[[], int],
        count_blocked: Callable[[], int],
        count_known_streams: Callable[[], int],
        # None without an admission queue.
        count_waiting_for_places: Callable[[], int] | None = None,
    ) -> None:
        super().__init__()
        self._board = board
        self._timer = timer
        self._line_writer = line_writer
        self._address = address
        self._port = port
        self._connections = connections
        self._get_accounts = get_accounts
        self._count_active = count_active
        self._count_waiting_for_tokens = count_waiting_for_tokens
        self._count_blocked = count_blocked
        self._count_known_streams = count_known_streams
        self._count_waiting_for_places = count_waiting_for_places
        self._page = MetricsPage()
        self._rendered, self._rendered_at = b"", float("-inf")
        self._stalls = StallDetector(interval_s=FLUSH_INTERVAL_S)
        self._runner: web.ServerRunner | None = None

    async def on_start(self) -> None:
        """Start counting events and listening for requests."""
        self._add_gauges()
        eliot.add_destinations(self._page)
        self._unsubscribe = self._timer.subscribe(
            name="log lines",
            interval_s=FLUSH_INTERVAL_S,
            callback=self._flush_and_check_stall,
        )
        runner = web.ServerRunner(web.Server(self._handle_request, access_log=None))
        await runner.setup()
        self._runner = runner
        try:
            site = MeteredSite(
                runner,
                connections=self._connections,
                address=self._address,
                port=self._port,
            )
            await site.start()
            port = runner.addresses[0][1]
            log_event(Event.METRICS_SERVED, address=self._address, metrics_port=port)
        except OSError as error:
            # Callers can be served without metrics, so the host continues.
            log_event(Event.METRICS_UNAVAILABLE, port=self._port, error=str(error))

    async def on_stop(self) -> None:
        """Stop counting events and listening for requests."""
        self._unsubscribe()
        eliot.remove_destination(self._page)
        if self._runner is not None:
            await self._runner.cleanup()

    async def _flush_and_check_stall(self) -> None:
        self._line_writer.flush()
        stall = self._stalls.record_tick(self._timer.now(), time.process_time())
        if stall is not None:
            log_event(
                Event.HOST_STALLED,
                host=self._board.host,
                late_s=stall.late_s,
                processor_s=stall.processor_s,
            )

    async def _handle_request(self, request: web.BaseRequest) -> web.Response:
        if request.path != PATH:
            return web.Response(status=404)
        headers = {"Content-Type": CONTENT_TYPE}
        return web.Response(body=self._render(), headers=headers)

    def _render(self) -> bytes:
        now = self._timer.now()
        if now - self._rendered_at > MAX_AGE_S:
            self._rendered, self._rendered_at = self._page.render(), now
        return self._rendered

    def _add_gauges(self) -> None:
        board = self._board
        add = self._page.add_gauge
        add("requests_active", "Requests in progress.", self._count_active)
        add(
            "requests_waiting_for_tokens",
            "Requests that wait for tokens in an outage of the store.",
            self._count_waiting_for_tokens,
        )
        add(
            "requests_blocked",
            "Requests and prompt parts that are blocked because they crash targets.",
            self._count_blocked,
        )
        add(
            "streams_known",
            "Streams of this and other hosts whose version is known here.",
            self._count_known_streams,
        )
        if self._count_waiting_for_places is not None:
            add(
                "requests_waiting",
                "Requests that wait in the admission queues of this host.",
                self._count_waiting_for_places,
            )
        add(
            "store_silent_seconds",
            "Seconds since the store last responded, 0 while it is reachable.",
            lambda: board.store.get_outage_s(self._timer.now()),
        )
        add(
            "configuration_version",
            "Version of the configuration in force, 0 before the first.",
            lambda: board.configuration.version if board.configuration else 0,
        )
        add(
            "peer_call_seconds",
            "Seconds of the fastest recent call to a peer, 0 if unknown.",
            lambda: board.round_trips.estimate_call_s(self._timer.now()),
        )
        add(
            "peers_known", "Other hosts that this host knows.", lambda: len(board.peers)
        )
        add(
            "targets_listed",
            "Targets with an entry in the store.",
            lambda: len(board.targets.listed),
        )
        add(
            "services_out_of_reach",
            "Services of which this host's own links lead to no target.",
            lambda: len(board.list_lost_services()),
        )
        add(
            "targets_cold",
            "Targets that are or may be cold.",
            lambda: sum(
                board.targets.is_cold(item.entry, self._timer.now())
                for item in board.targets.listed.values()
            ),
        )
        add(
            "targets_limited",
            "Targets that name a limit, or turned a request of some host away.",
            lambda: len(board.limits.limited),
        )
        add(
            "data_centers_evacuated",
            "Data centres whose targets get no new requests.",
            lambda: len(board.targets.evacuated),
        )
        add(
            "tokens_unused",
            "Tokens that this host has drawn and neither held nor spent.",
            lambda: sum(item.unused for item in self._get_accounts()),
        )
        add(
            "tokens_held",
            "Tokens that this host holds for requests in progress.",
            lambda: sum(item.held for item in self._get_accounts()),
        )
        table = self._connections.table
        add("client_bytes", "Bytes held for clients.", lambda: table.budget.n_bytes)
        add("client_connections", "Connections of clients.", lambda: table.n_open)
        add(
            "log_lines_left_out",
            "Log lines dropped above the rate limit or for want of a reader.",
            lambda: self._line_writer.n_left_out,
        )
