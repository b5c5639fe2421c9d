"""Create the components of a host and connect them."""

import random
from collections.abc import Callable
from dataclasses import dataclass

import aiohttp
from mode import Service

from trefoilstage.blackboard import Blackboard
from trefoilstage.components.booking.client import ServiceClient
from trefoilstage.components.booking.controller import ServiceCallController
from trefoilstage.components.budget.setup import BudgetParts, make_budget_parts
from trefoilstage.components.callers.generation import GenerationRunner
from trefoilstage.components.callers.server import CallerServer
from trefoilstage.components.configuration.controller import ConfigurationController
from trefoilstage.components.connections.limits import ClientLimits
from trefoilstage.components.connections.site import ClientConnections
from trefoilstage.components.keys.controller import KeyController
from trefoilstage.components.log_client.client import LogClient
from trefoilstage.components.log_client.streams import Streams
from trefoilstage.components.membership.controller import MembershipController
from trefoilstage.components.operators.metrics_controller import MetricsController
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
    """Group the services that read and write the log."""

    log: RelayedLog
    streams: Streams


@dataclass(frozen=True, kw_only=True, slots=True)
class HostParts:
    """Group the components of a host."""

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
    caller_server: CallerServer
    operator_server: OperatorServer
    metrics: MetricsController

    def list_services(self) -> list[Service]:
        """Return the services in start order."""
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
            self.caller_server,
            self.operator_server,
            self.metrics,
        ]


def make_parts(
    *,
    settings: HostSettings,
    blackboard: Blackboard,
    registry: StateRegistry,
    drain: Callable[[], None],
) -> HostParts:
    """Create the components of a host without starting them."""
    generator = random.Random(blackboard.incarnation)
    session = make_session(settings, close_after_request=False)
    at_most_once_session = make_session(settings, close_after_request=True)
    timer = TimerService()
    links = PeerLinks(outbound_address=get_outbound_address(settings), codec=PEER_CODEC)
    connections = ClientConnections(
        limits=ClientLimits(
            max_bytes=settings.max_client_bytes,
            max_connections=settings.max_client_connections,
        )
    )
    peer_server = PeerServer(
        address=settings.address,
        port=settings.peer_port,
        codec=PEER_CODEC,
        connections=connections,
    )
    log_parts = make_log_parts(
        settings=settings,
        blackboard=blackboard,
        session=session,
        links=links,
        peer_server=peer_server,
        generator=generator,
    )
    target_client = TargetClient(session=session)
    budget = make_budget_parts(
        settings=settings,
        blackboard=blackboard,
        streams=log_parts.streams,
        links=links,
        server=peer_server,
        targets=target_client,
        timer=timer,
        generator=generator,
    )
    targets = make_target_parts(
        settings=settings,
        blackboard=blackboard,
        streams=log_parts.streams,
        budget=budget.budget,
        targets=target_client,
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
        server=peer_server,
        timer=timer,
        retention_s=settings.answer_retention_s,
    )
    bookings = ServiceCallController(
        blackboard=blackboard,
        streams=log_parts.streams,
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
        peer_server=peer_server,
        log=log_parts.log,
        streams=log_parts.streams,
        membership=MembershipController(
            blackboard=blackboard,
            links=links,
            server=peer_server,
            timer=timer,
            heartbeat_s=settings.heartbeat_s,
            suspect_after_s=settings.suspect_after_s,
            forget_after_s=settings.forget_after_s,
            streams=log_parts.streams,
        ),
        configuration=ConfigurationController(
            blackboard=blackboard, streams=log_parts.streams, timer=timer
        ),
        budget=budget,
        targets=targets,
        keys=keys,
        caller_server=CallerServer(
            blackboard=blackboard,
            keys=keys,
            bookings=bookings,
            address=settings.address,
            port=settings.caller_port,
            connections=connections,
        ),
        operator_server=OperatorServer(
            blackboard=blackboard,
            streams=log_parts.streams,
            registry=registry,
            drain=drain,
            address=settings.address,
            port=settings.operator_port,
            connections=connections,
        ),
        metrics=MetricsController(
            blackboard=blackboard,
            streams=log_parts.streams,
            timer=timer,
            metrics=make_metrics(settings),
            gauges={"requests.waiting": targets.admission.count_waiting},
        ),
    )


def get_outbound_address(settings: HostSettings) -> str:
    """Return the local address of outgoing connections."""
    return settings.outbound_address or settings.address


def make_session(
    settings: HostSettings, *, close_after_request: bool
) -> aiohttp.ClientSession:
    """Create an HTTP session that reuses connections or closes each after a request."""
    connector = aiohttp.TCPConnector(
        limit=0,
        force_close=close_after_request,
        local_addr=(get_outbound_address(settings), 0),
    )
    return open_session(connector)


def make_metrics(settings: HostSettings) -> StatsdMetrics:
    """Create the StatsD client."""
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
    peer_server: PeerServer,
    generator: random.Random,
) -> LogParts:
    """Create the services that read and write the log without starting them."""
    log = RelayedLog(
        client=LogClient(session=session, url=settings.log_url),
        blackboard=blackboard,
        links=links,
        server=peer_server,
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
    SnapshotServer(server=peer_server, pack=streams.pack)
    return LogParts(log=log, streams=streams)
