"""Run a host that forwards to registered targets, from its start to its end."""

import asyncio
import json
import random
import sys
import uuid

from mode import Service

from trefoilstage.components.escrow.client import EscrowClient
from trefoilstage.components.escrow.grants import GrantBook
from trefoilstage.components.escrow.home import EscrowHome
from trefoilstage.components.escrow.lock import ReserveLock
from trefoilstage.components.escrow.lock_keeper import LockKeeper
from trefoilstage.components.escrow.recovery import EscrowRecovery
from trefoilstage.components.fleet.membership import FleetMembership
from trefoilstage.components.fleet.messages import FLEET_CODEC
from trefoilstage.components.fleet.metrics import MetricsServer
from trefoilstage.components.fleet.watcher import BoardWatcher
from trefoilstage.components.forwarding.border import Border
from trefoilstage.components.forwarding.pipeline import ForwardingPipeline
from trefoilstage.components.forwarding.sender import TargetSender, open_target_session
from trefoilstage.components.forwarding.server import ForwardingServer
from trefoilstage.components.forwarding.targets import TargetChooser
from trefoilstage.components.forwarding.workload import WorkloadController
from trefoilstage.components.peers.links import PeerLinks
from trefoilstage.components.peers.server import PeerServer
from trefoilstage.components.views.follower import ViewFollower
from trefoilstage.components.views.keyed_view import KeyedRecord
from trefoilstage.components.views.store import Store, Topic
from trefoilstage.fleet_board import FleetBoard
from trefoilstage.fleet_settings import FleetSettings
from trefoilstage.helpers.dump import StateRegistry
from trefoilstage.helpers.events import Event, describe_error, log_event
from trefoilstage.helpers.lines import LineWriter
from trefoilstage.phase import Phase
from trefoilstage.timer import TimerService
from trefoilstage.util.process_start import ProcessStart

# A configuration is in force within 2 s of its acceptance: the store answers a
# waiting read at once, and a connection that went silent is given up after this.
CONFIGURATION_WAIT_S = 1.0
# Targets write about once a second each, so a waiting read would return for each
# one. Two reads a second find a leaving target well within its 2 s.
TARGETS_PAUSE_S = 0.4
HOSTS_WAIT_S = 3.0
READY_POLL_S = 0.02
# Peers that run answer within milliseconds; the store may name some that are gone.
MEET_S = 0.6
# A stream takes 4 s at most in nine cases of ten; begun later, it would be cut.
ACCEPT_WHILE_DRAINING_S = 3.0
# A call to a plain service takes at most this long.
QUICK_S = 0.5
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
        border: Border,
        watcher: BoardWatcher,
        board: FleetBoard,
        process_start: ProcessStart,
        lines: LineWriter,
    ) -> None:
        super().__init__()
        self._lines = lines
        self._process_start = process_start
        self._settings = settings
        self._store = store
        self._border = border
        self._watcher = watcher
        self._board = board
        self.drain_requested = asyncio.Event()
        self._registry = StateRegistry()

    async def on_start(self) -> None:
        """Build the parts and start them, inner ones first."""
        settings = self._settings
        self._session = open_target_session(settings.address, self._board)
        generator = random.Random(self._board.incarnation)
        timer = TimerService()
        links = PeerLinks(outbound_address=settings.address, codec=FLEET_CODEC)
        peers = PeerServer(
            address=settings.address, port=settings.peer_port, codec=FLEET_CODEC
        )
        followers = self._make_followers()
        membership = FleetMembership(
            board=self._board,
            store=self._store,
            links=links,
            server=peers,
            timer=timer,
            followers=followers,
            address=settings.address,
            generator=generator,
        )
        self._membership = membership
        book = GrantBook()
        recovery = EscrowRecovery(
            board=self._board, timer=timer, book=book, ask_seal=membership.ask_seal
        )
        membership.set_seal_handler(recovery.seal)
        lock = ReserveLock()
        home = EscrowHome(
            board=self._board,
            store=self._store,
            server=peers,
            timer=timer,
            n_partitions=settings.store_partitions,
            rank_home=lambda workspace: self._escrow.rank_home(workspace),
            recovery=recovery,
            lock=lock,
        )
        self._home = home
        keeper = LockKeeper(
            board=self._board,
            store=self._store,
            timer=timer,
            lock=lock,
            start=self._process_start,
            has_touched=home.has_touched_lock,
        )
        self._escrow = EscrowClient(
            board=self._board,
            membership=membership,
            home=home,
            links=links,
            timer=timer,
            book=book,
            generator=generator,
        )
        workload = WorkloadController(
            board=self._board, links=links, server=peers, timer=timer
        )
        pipeline = ForwardingPipeline(
            board=self._board,
            escrow=self._escrow,
            chooser=TargetChooser(
                board=self._board,
                membership=membership,
                settings=settings,
                timer=timer,
                workload=workload,
            ),
            sender=TargetSender(session=self._session, border=self._border),
            generator=generator,
        )
        self._server = ForwardingServer(
            board=self._board,
            settings=settings,
            border=self._border,
            pipeline=pipeline,
        )
        metrics = MetricsServer(
            board=self._board,
            timer=timer,
            lines=self._lines,
            address=settings.address,
            port=settings.metrics_port,
            get_accounts=home.list_accounts,
            count_active=lambda: self._server.n_active,
        )
        self._registry.register("board", lambda: self._board)
        self._registry.register("settings", lambda: settings)
        self._registry.register("accounts", home.list_accounts)
        parts: list[Service] = [timer, metrics, links, peers, *followers.values()]
        parts += [membership, keeper, home, self._escrow, workload, self._server]
        for part in parts:
            await self.add_runtime_dependency(part)
        self.add_future(self._become_ready())
        log_event(
            Event.HOST_STARTED,
            host=self._board.host,
            incarnation=self._board.incarnation,
            data_center=self._board.data_center,
            caller_port=self._server.caller_port,
            ready_port=self._server.ready_port,
        )

    def _make_followers(self) -> dict[Topic, ViewFollower]:
        def make(topic: Topic, wait_s: float, pause_s: float) -> ViewFollower:
            return ViewFollower(
                board=self._board,
                store=self._store,
                topic=topic,
                wait_s=wait_s,
                pause_s=pause_s,
                on_change=lambda records: self._take(topic, records),
            )

        return {
            Topic.CONFIGURATION: make(Topic.CONFIGURATION, CONFIGURATION_WAIT_S, 0.0),
            Topic.TARGETS: make(Topic.TARGETS, 0.0, TARGETS_PAUSE_S),
            Topic.HOSTS: make(Topic.HOSTS, HOSTS_WAIT_S, 0.0),
        }

    def _take(self, topic: Topic, records: list[KeyedRecord]) -> None:
        if topic is Topic.HOSTS:
            self._membership.take_records(records)
        else:
            self._watcher.take(topic, records, asyncio.get_running_loop().time())

    async def _become_ready(self) -> None:
        """Serve once a configuration is known and the other hosts were heard.

        A host that has heard nobody takes itself for the home of every workspace,
        and would draw a stock for each.
        """
        loop = asyncio.get_running_loop()
        while self._board.configuration is None:
            await asyncio.sleep(READY_POLL_S)
        met_by = loop.time() + MEET_S
        while not self._membership.has_met_all() and loop.time() < met_by:
            await asyncio.sleep(READY_POLL_S)
        if self._board.phase is not Phase.STARTING:
            return
        self._board.phase = Phase.SERVING
        self._membership.beat_soon()
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
        self._membership.beat_soon()
        # Its successor as home draws at once; what lies here is missing there.
        self.add_future(self._home.return_all())
        log_event(
            Event.HOST_DRAINING, host=self._board.host, active=self._server.n_active
        )
        # The balancer needs two misses, and where most hosts of a data centre drain
        # it goes on using all of them. A closed port would cost those callers their
        # request, so the port stays open to the end.
        await asyncio.sleep(max(0.0, min(ACCEPT_WHILE_DRAINING_S, ends - loop.time())))
        self._server.refuse_long_requests()
        # Where most hosts of a data centre drain, quick calls never cease. Waiting for
        # a pause among them, a host stayed to the end of its grace and refused streams
        # that its successor could have served: 204 within 8 s of hosts stopped in turn.
        while loop.time() < ends - QUICK_S and self._server.n_streams:
            await asyncio.sleep(READY_POLL_S)
        self._server.refuse_all_requests()
        ended = await self._server.drain(max(0.0, ends - loop.time()))
        if not ended:
            log_event(Event.DRAIN_INCOMPLETE, host=self._board.host)
        await self._leave()

    async def _leave(self) -> None:
        try:
            async with asyncio.timeout(LEAVE_S):
                await self._escrow.flush()
                await self._home.return_all()
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
