"""Assemble one host from its parts."""

import asyncio
import json
import random
import sys
import uuid
from functools import partial

import aiohttp
from mode import Service

from trefoilstage.blackboard import Blackboard, Phase
from trefoilstage.components.booking.client import ServiceClient, open_session
from trefoilstage.components.booking.controller import BookingController
from trefoilstage.components.budget.setup import make_budget_parts
from trefoilstage.components.callers.generation import GenerationRunner
from trefoilstage.components.callers.server import CallerServer
from trefoilstage.components.configuration.controller import ConfigurationController
from trefoilstage.components.keys.controller import KeyController
from trefoilstage.components.log_client.client import LogClient
from trefoilstage.components.log_client.streams import Streams
from trefoilstage.components.membership.controller import MembershipController
from trefoilstage.components.membership.host_list import HostListController
from trefoilstage.components.operators.metrics import MetricsController
from trefoilstage.components.operators.server import OperatorServer
from trefoilstage.components.peers.links import PeerLinks
from trefoilstage.components.peers.relay import RelayedLog
from trefoilstage.components.peers.server import PeerServer
from trefoilstage.components.peers.snapshots import SnapshotServer
from trefoilstage.components.targets.client import TargetClient
from trefoilstage.components.targets.setup import make_target_parts
from trefoilstage.configuration.records import HostDown, HostUp
from trefoilstage.exceptions import HostCrashedError
from trefoilstage.helpers.dump import StateRegistry, dump_part
from trefoilstage.helpers.events import Event, describe_error, log_event
from trefoilstage.helpers.metrics import Metrics
from trefoilstage.settings import HostSettings
from trefoilstage.timer import TimerService

READY_POLL_S = 0.02
HALTED_CHECK_S = 0.5


class Host(Service):
    """Run every part of one host on one loop."""

    def __init__(self, *, settings: HostSettings) -> None:
        super().__init__()
        self._settings = settings
        self.blackboard = Blackboard(
            host=settings.host,
            incarnation=f"{settings.host}-{uuid.uuid4().hex[:12]}",
            data_center=settings.data_center,
        )
        self.drain_requested = asyncio.Event()
        self._registry = StateRegistry()

    async def on_start(self) -> None:
        """Build the parts and start them, inner ones first."""
        settings = self._settings
        outbound_address = settings.outbound_address or settings.address
        connector = aiohttp.TCPConnector(limit=0, local_addr=(outbound_address, 0))
        self._session = open_session(connector)
        self._once_session = open_session(
            aiohttp.TCPConnector(
                limit=0, force_close=True, local_addr=(outbound_address, 0)
            )
        )
        metrics = Metrics(
            address=settings.statsd_address,
            port=settings.statsd_port,
            host=settings.host,
        )
        generator = random.Random(self.blackboard.incarnation)
        self._timer = TimerService()
        self._links = PeerLinks(outbound_address=outbound_address)
        self._peer_server = PeerServer(
            address=settings.address, port=settings.peer_port
        )
        self._streams = self._make_streams(generator)
        targets = TargetClient(session=self._session)
        budget_parts = make_budget_parts(
            settings=settings,
            blackboard=self.blackboard,
            streams=self._streams,
            links=self._links,
            server=self._peer_server,
            targets=targets,
            timer=self._timer,
            generator=generator,
        )
        self._budget = budget_parts.budget
        target_parts = make_target_parts(
            settings=settings,
            blackboard=self.blackboard,
            streams=self._streams,
            budget=self._budget,
            targets=targets,
            timer=self._timer,
            generator=generator,
        )
        self._keys = KeyController(
            blackboard=self.blackboard,
            generations=GenerationRunner(
                blackboard=self.blackboard,
                budget=self._budget,
                dispatcher=target_parts.dispatcher,
            ),
            links=self._links,
            server=self._peer_server,
            timer=self._timer,
            retention_s=settings.answer_retention_s,
        )
        self._callers = CallerServer(
            blackboard=self.blackboard,
            keys=self._keys,
            bookings=BookingController(
                blackboard=self.blackboard,
                streams=self._streams,
                budget=self._budget,
                client=ServiceClient(
                    session=self._session, once_session=self._once_session
                ),
                admission_wait_s=settings.admission_wait_s,
            ),
            address=settings.address,
            port=settings.caller_port,
        )
        self._operators = OperatorServer(
            blackboard=self.blackboard,
            streams=self._streams,
            registry=self._registry,
            drain=self.drain_requested.set,
            address=settings.address,
            port=settings.operator_port,
        )
        parts = [
            self._timer,
            self._links,
            self._peer_server,
            self._log,
            self._streams,
            *self._make_controllers(),
            budget_parts.witness,
            budget_parts.recovery,
            self._budget,
            target_parts.power,
            target_parts.reports,
            target_parts.roles,
            target_parts.admission,
            self._keys,
            self._callers,
            self._operators,
            MetricsController(
                blackboard=self.blackboard,
                streams=self._streams,
                timer=self._timer,
                metrics=metrics,
                gauges={"requests.waiting": target_parts.admission.count_waiting},
            ),
        ]
        self._register_state(parts)
        for part in parts:
            await self.add_runtime_dependency(part)
        self._timer.subscribe(
            name="halted", interval_s=HALTED_CHECK_S, callback=self._check_halted
        )
        await self._announce()

    def _register_state(self, parts: list[Service]) -> None:
        self._registry.register("blackboard", lambda: self.blackboard)
        self._registry.register("settings", lambda: self._settings)
        for part in parts:
            self._registry.register(type(part).__name__, partial(dump_part, part))
        self._registry.register("keys", self._keys.describe)

    def _make_streams(self, generator: random.Random) -> Streams:
        settings = self._settings
        client = LogClient(
            session=self._session,
            url=settings.log_url,
        )
        self._log = RelayedLog(
            client=client,
            blackboard=self.blackboard,
            links=self._links,
            server=self._peer_server,
            timeout_s=settings.log_timeout_s,
            generator=generator,
        )
        streams = Streams(
            blackboard=self.blackboard,
            source=self._log,
            poll_s=settings.log_poll_s,
            checkpoint_every=settings.checkpoint_every,
            checkpoint_interval_s=settings.checkpoint_interval_s,
            generator=generator,
        )
        SnapshotServer(server=self._peer_server, pack=streams.pack)
        return streams

    def _make_controllers(self) -> list[Service]:
        settings = self._settings
        self._membership = MembershipController(
            blackboard=self.blackboard,
            links=self._links,
            server=self._peer_server,
            timer=self._timer,
            heartbeat_s=settings.heartbeat_s,
            suspect_after_s=settings.suspect_after_s,
            forget_after_s=settings.forget_after_s,
            streams=self._streams,
        )
        return [
            self._membership,
            ConfigurationController(
                blackboard=self.blackboard,
                streams=self._streams,
                timer=self._timer,
            ),
        ]

    async def _announce(self) -> None:
        address = self._settings.address
        peer_url = f"ws://{address}:{self._peer_server.port}"
        record = HostUp(
            host=self._settings.host,
            data_center=self._settings.data_center,
            caller_url=f"http://{address}:{self._callers.port}",
            operator_url=f"http://{address}:{self._operators.port}",
            peer_url=self._settings.advertised_peer_url or peer_url,
        )
        self._membership.set_announcement(record)
        if self._settings.host_list_url:
            host_list = HostListController(
                blackboard=self.blackboard,
                session=self._session,
                timer=self._timer,
                url=self._settings.host_list_url,
                peer_url=record.peer_url,
            )
            await self.add_runtime_dependency(host_list)
        log_event(
            Event.HOST_STARTED,
            host=self._settings.host,
            incarnation=self.blackboard.incarnation,
            caller_port=self._callers.port,
            operator_port=self._operators.port,
            peer_port=self._peer_server.port,
        )

    async def run(self) -> None:
        """Serve until told to drain, or until a part fails."""
        ready = asyncio.create_task(self.wait_until_ready())
        await self.wait(self.drain_requested)
        ready.cancel()
        if self.crashed:
            log_event(
                Event.HOST_CRASHED,
                host=self._settings.host,
                error=describe_error(self.crash_reason),
            )
            raise HostCrashedError(repr(self.crash_reason))
        await self.drain()

    async def _check_halted(self) -> None:
        # This host can't fold on, so it must not answer from a state that
        # stands still. Its successor of the newer version takes over.
        if self._streams.is_halted():
            self.drain_requested.set()

    async def wait_until_ready(self) -> None:
        """Wait until the log was read to its end, then serve."""
        while not self._is_ready():
            await asyncio.sleep(READY_POLL_S)
        self.blackboard.phase = Phase.SERVING
        log_event(Event.HOST_READY, host=self._settings.host)

    def _is_ready(self) -> bool:
        announced = self._settings.host in self.blackboard.config.hosts
        return announced and self._streams.is_caught_up()

    async def drain(self) -> None:
        """Take no new requests, finish those in flight and give draws back."""
        self.blackboard.phase = Phase.DRAINING
        log_event(Event.HOST_DRAINING, host=self._settings.host)
        # The balancer needs a moment to see /health fail. Until then requests
        # still come, and each is refused instead of finding a closed port.
        grace_ends = self._timer.now() + self._settings.drain_grace_s
        ended = await self._callers.drain(self._settings.drain_timeout_s)
        await self._budget.return_all(self._settings.flush_timeout_s)
        self._streams.submit_config(HostDown(incarnation=self.blackboard.incarnation))
        flushed = await self._flush()
        if not ended or not flushed:
            log_event(
                Event.DRAIN_INCOMPLETE,
                host=self._settings.host,
                requests_ended=ended,
                records_flushed=flushed,
            )
        await asyncio.sleep(max(0.0, grace_ends - self._timer.now()))
        await self._callers.drain(self._settings.drain_timeout_s)

    async def _flush(self) -> bool:
        # Bounded, for the log may be down for long. What was not handed back
        # is released by the draws' witnesses once this host is gone.
        try:
            async with asyncio.timeout(self._settings.flush_timeout_s):
                await self._streams.flush()
        except TimeoutError:
            return False
        return True

    async def on_shutdown(self) -> None:
        """Close the HTTP connections."""
        await self._session.close()
        await self._once_session.close()
        log_event(Event.HOST_STOPPED, host=self._settings.host)

    def write_dump(self) -> None:
        """Write the whole state to standard error as one JSON line."""
        sys.stderr.write(json.dumps(self._registry.dump()) + "\n")
