"""Assemble the parts of one host."""

import random
from collections.abc import Callable
from dataclasses import dataclass

import aiohttp
from mode import Service

from trefoilstage.blackboard import Blackboard
from trefoilstage.components.booking.client import ServiceClient
from trefoilstage.components.booking.controller import BookingController
from trefoilstage.components.budget.setup import BudgetParts, make_budget_parts
from trefoilstage.components.callers.generation import GenerationRunner
from trefoilstage.components.callers.server import CallerServer
from trefoilstage.components.configuration.controller import ConfigurationController
from trefoilstage.components.keys.controller import KeyController
from trefoilstage.components.log_client.client import LogClient
from trefoilstage.components.log_client.streams import Streams
from trefoilstage.components.membership.controller import MembershipController
from trefoilstage.components.operators.metrics import MetricsController
from trefoilstage.components.operators.server import OperatorServer
from trefoilstage.components.peers.links import PeerLinks
from trefoilstage.components.peers.messages import PEER_CODEC
from trefoilstage.components.peers.relay import RelayedLog
from trefoilstage.components.peers.server import PeerServer
from trefoilstage.components.peers.snapshots import SnapshotServer
from trefoilstage.components.targets.client import TargetClient
from trefoilstage.components.targets.setup import TargetParts, make_target_parts
from trefoilstage.helpers.dump import StateRegistry
from trefoilstage.helpers.metrics import StatsdMetrics
from trefoilstage.helpers.send_trace import open_session
from trefoilstage.settings import HostSettings
from trefoilstage.timer import TimerService


@dataclass(frozen=True, kw_only=True, slots=True)
class LogParts:
    """Hold the services that follow and write the log."""

    log: RelayedLog
    streams: Streams


@dataclass(frozen=True, kw_only=True, slots=True)
class HostParts:
    """Hold every part of a host."""

    session: aiohttp.ClientSession
    at_most_once_session: aiohttp.ClientSession
    timer: TimerService
    links: PeerLinks
    peer_server: PeerServer
    log: RelayedLog
    streams: Streams
    membership: MembershipController
    configuration: ConfigurationController
    budget: BudgetParts
    targets: TargetParts
    keys: KeyController
    callers: CallerServer
    operators: OperatorServer
    metrics: MetricsController

    def list_services(self) -> list[Service]:
        """Return the services in the order of their start."""
        return [
            self.timer,
            self.links,
            self.peer_server,
            self.log,
            self.streams,
            self.membership,
            self.configuration,
            self.budget.witness,
            self.budget.recovery,
            self.budget.budget,
            self.targets.power,
            self.targets.reports,
            self.targets.roles,
            self.targets.admission,
            self.keys,
            self.callers,
            self.operators,
            self.metrics,
        ]


def make_parts(
    *,
    settings: HostSettings,
    blackboard: Blackboard,
    registry: StateRegistry,
    drain: Callable[[], None],
) -> HostParts:
    """Return the parts of a host, not yet started."""
    generator = random.Random(blackboard.incarnation)
    session = make_session(settings, once=False)
    at_most_once_session = make_session(settings, once=True)
    timer = TimerService()
    links = PeerLinks(outbound_address=get_outbound_address(settings), codec=PEER_CODEC)
    server = PeerServer(
        address=settings.address, port=settings.peer_port, codec=PEER_CODEC
    )
    log = make_log_parts(
        settings=settings,
        blackboard=blackboard,
        session=session,
        links=links,
        server=server,
        generator=generator,
    )
    client = TargetClient(session=session)
    budget = make_budget_parts(
        settings=settings,
        blackboard=blackboard,
        streams=log.streams,
        links=links,
        server=server,
        targets=client,
        timer=timer,
        generator=generator,
    )
    targets = make_target_parts(
        settings=settings,
        blackboard=blackboard,
        streams=log.streams,
        budget=budget.budget,
        targets=client,
        timer=timer,
        generator=generator,
    )
    keys = KeyController(
        blackboard=blackboard,
        generations=GenerationRunner(
            blackboard=blackboard,
            budget=budget.budget,
            dispatcher=targets.dispatcher,
        ),
        links=links,
        server=server,
        timer=timer,
        retention_s=settings.answer_retention_s,
    )
    bookings = BookingController(
        blackboard=blackboard,
        streams=log.streams,
        budget=budget.budget,
        client=ServiceClient(
            session=session, at_most_once_session=at_most_once_session
        ),
        admission_wait_s=settings.admission_wait_s,
    )
    return HostParts(
        session=session,
        at_most_once_session=at_most_once_session,
        timer=timer,
        links=links,
        peer_server=server,
        log=log.log,
        streams=log.streams,
        membership=MembershipController(
            blackboard=blackboard,
            links=links,
            server=server,
            timer=timer,
            heartbeat_s=settings.heartbeat_s,
            suspect_after_s=settings.suspect_after_s,
            forget_after_s=settings.forget_after_s,
            streams=log.streams,
        ),
        configuration=ConfigurationController(
            blackboard=blackboard, streams=log.streams, timer=timer
        ),
        budget=budget,
        targets=targets,
        keys=keys,
        callers=CallerServer(
            blackboard=blackboard,
            keys=keys,
            bookings=bookings,
            address=settings.address,
            port=settings.caller_port,
        ),
        operators=OperatorServer(
            blackboard=blackboard,
            streams=log.streams,
            registry=registry,
            drain=drain,
            address=settings.address,
            port=settings.operator_port,
        ),
        metrics=MetricsController(
            blackboard=blackboard,
            streams=log.streams,
            timer=timer,
            metrics=make_metrics(settings),
            gauges={"requests.waiting": targets.admission.count_waiting},
        ),
    )


def get_outbound_address(settings: HostSettings) -> str:
    """Return the address that this host calls from."""
    return settings.outbound_address or settings.address


def make_session(settings: HostSettings, *, once: bool) -> aiohttp.ClientSession:
    """Return an HTTP session; one for single sends keeps no connection."""
    connector = aiohttp.TCPConnector(
        limit=0,
        force_close=once,
        local_addr=(get_outbound_address(settings), 0),
    )
    return open_session(connector)


def make_metrics(settings: HostSettings) -> StatsdMetrics:
    """Return the metrics client."""
    return StatsdMetrics(
        address=settings.statsd_address,
        port=settings.statsd_port,
        host=settings.host,
    )


def make_log_parts(
    *,
    settings: HostSettings,
    blackboard: Blackboard,
    session: aiohttp.ClientSession,
    links: PeerLinks,
    server: PeerServer,
    generator: random.Random,
) -> LogParts:
    """Return the services that follow and write the log, not yet started."""
    log = RelayedLog(
        client=LogClient(session=session, url=settings.log_url),
        blackboard=blackboard,
        links=links,
        server=server,
        timeout_s=settings.log_timeout_s,
        generator=generator,
    )
    streams = Streams(
        blackboard=blackboard,
        source=log,
        poll_s=settings.log_poll_s,
        checkpoint_every=settings.checkpoint_every,
        checkpoint_interval_s=settings.checkpoint_interval_s,
        generator=generator,
    )
    SnapshotServer(server=server, pack=streams.pack)
    return LogParts(log=log, streams=streams)
