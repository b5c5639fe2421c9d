"""Create the components of a forwarding host, except its servers and connections."""

import asyncio
import random
from collections.abc import Mapping
from dataclasses import dataclass
from typing import TYPE_CHECKING

from mode import Service

from trefoilstage.components.crashes.evidence import MAX_CRASHES
from trefoilstage.components.crashes.probe import TargetProbe
from trefoilstage.components.crashes.recorder import CrashRecorder
from trefoilstage.components.crashes.watcher import CrashWatcher
from trefoilstage.components.escrow.client import EscrowClient
from trefoilstage.components.escrow.grants import GrantRegistry
from trefoilstage.components.escrow.home import EscrowHome
from trefoilstage.components.escrow.lock import ReserveLock
from trefoilstage.components.escrow.lock_keeper import LockKeeper
from trefoilstage.components.escrow.ranking import HomeRanking
from trefoilstage.components.escrow.recovery import EscrowRecovery
from trefoilstage.components.fleet.board_updater import BoardUpdater
from trefoilstage.components.fleet.membership import FleetMembership
from trefoilstage.components.forwarding.pipeline import ForwardingPipeline
from trefoilstage.components.forwarding.reach_monitor import ReachMonitor
from trefoilstage.components.forwarding.sender import Sender
from trefoilstage.components.forwarding.start_prover import StartProbe, StartProver
from trefoilstage.components.forwarding.stream_binding import StreamBinder
from trefoilstage.components.forwarding.target_chooser import TargetChooser
from trefoilstage.components.forwarding.workload import WorkloadController
from trefoilstage.components.peer_sends.path import PathSender
from trefoilstage.components.peer_sends.probe import ConfirmedProbe
from trefoilstage.components.peer_sends.sender import PeerSender
from trefoilstage.components.peer_sends.server import PeerSendServer
from trefoilstage.components.peers.links import PeerLinks
from trefoilstage.components.peers.server import PeerServer
from trefoilstage.components.peers.streams import PeerStreams
from trefoilstage.components.permits.controller import TargetPermits
from trefoilstage.components.permits.known_limits import KnownLimits
from trefoilstage.components.permits.slots import SlotPool
from trefoilstage.components.stream_versions.controller import StreamVersions
from trefoilstage.components.views.follower import (
    ViewFollower,
)
from trefoilstage.components.views.keyed_view import KeyedRecord
from trefoilstage.components.views.store import Store, Topic
from trefoilstage.fleet_board import FleetBoard
from trefoilstage.fleet_followers import make_followers
from trefoilstage.fleet_settings import FleetSettings
from trefoilstage.timer import TimerService
from trefoilstage.util.process_start import ProcessStart

if TYPE_CHECKING:
    from trefoilstage.components.admission_queue.client import AdmissionClient
    from trefoilstage.components.admission_queue.home import AdmissionHome


@dataclass(frozen=True, kw_only=True, slots=True)
class FleetParts:
    """Group the components of a forwarding host, except its servers and connections."""

    timer: TimerService
    followers: Mapping[Topic, ViewFollower]
    membership: FleetMembership
    lock_keeper: LockKeeper
    home: EscrowHome
    escrow: EscrowClient
    workload: WorkloadController
    permits: TargetPermits
    crash_recorder: CrashRecorder
    crash_watcher: CrashWatcher
    reach_monitor: ReachMonitor
    peer_sends: PeerSendServer
    stream_versions: StreamVersions
    chooser: TargetChooser
    pipeline: ForwardingPipeline
    # Only if the settings ask for an admission queue.
    admission_home: "AdmissionHome | None" = None
    admission: "AdmissionClient | None" = None

    def list_services(self) -> list[Service]:
        """Return the services to start, each after those that it depends on."""
        return [
            *self.followers.values(),
            self.membership,
            self.lock_keeper,
            self.home,
            self.escrow,
            self.workload,
            self.permits,
            self.reach_monitor,
            self.stream_versions,
            self.crash_recorder,
            self.crash_watcher,
            *(part for part in (self.admission_home, self.admission) if part),
        ]


def make_fleet_parts(
    *,
    settings: FleetSettings,
    board: FleetBoard,
    store: Store,
    board_updater: BoardUpdater,
    links: PeerLinks,
    peer_server: PeerServer,
    streams: PeerStreams,
    sender: Sender,
    probe: TargetProbe,
    start_probe: StartProbe,
    process_start: ProcessStart,
) -> FleetParts:
    """Create the components of a forwarding host without starting them."""
    generator = random.Random(board.incarnation)
    timer = TimerService()

    def apply_records(topic: Topic, records: list[KeyedRecord]) -> None:
        if topic is Topic.HOSTS:
            membership.apply_records(records)
        elif topic is Topic.CRASHES:
            crash_watcher.apply_records(records)
            followers[topic].view.drop_oldest_records(MAX_CRASHES)
        else:
            board_updater.apply_records(
                topic,
                records,
                asyncio.get_running_loop().time(),
            )

    def write_again() -> None:
        """Write again what a restored store may lack."""
        membership.announce_again()
        lock_keeper.forget_stored()
        home.forget_stored()
        crash_watcher.write_again()

    followers = make_followers(settings, board, store, apply_records, write_again)
    limits = KnownLimits(board=board, timer=timer)
    membership = FleetMembership(
        board=board,
        store=store,
        links=links,
        server=peer_server,
        timer=timer,
        followers=followers,
        limits=limits,
        address=settings.address,
        generator=generator,
    )
    ranking = HomeRanking(board=board, membership=membership)
    grants = GrantRegistry()
    recovery = EscrowRecovery(
        board=board,
        timer=timer,
        grants=grants,
        ask_seal=membership.ask_seal,
        confirm_incarnation=membership.confirm_incarnation,
    )
    membership.set_seal_handler(recovery.seal)
    lock = ReserveLock()
    home = EscrowHome(
        board=board,
        store=store,
        server=peer_server,
        timer=timer,
        n_partitions=settings.store_partitions,
        get_own_rank=ranking.get_own_rank,
        recovery=recovery,
        grants=grants,
        ask_accounts=membership.ask_accounts,
        lock=lock,
    )
    lock_keeper = LockKeeper(
        board=board,
        store=store,
        timer=timer,
        lock=lock,
        start=process_start,
        has_locked=home.has_locked,
        has_used_locked=home.has_used_locked,
    )
    escrow = EscrowClient(
        board=board,
        membership=membership,
        home=home,
        links=links,
        timer=timer,
        grants=grants,
        ranking=ranking,
        generator=generator,
    )
    workload = WorkloadController(
        board=board, links=links, server=peer_server, timer=timer
    )
    permits = TargetPermits(
        board=board,
        settings=settings,
        links=links,
        server=peer_server,
        timer=timer,
        limits=limits,
        has_host_list=lambda: followers[Topic.HOSTS].has_listing,
        generator=generator,
    )
    chooser = TargetChooser(
        board=board,
        membership=membership,
        settings=settings,
        timer=timer,
        workload=workload,
        permits=permits,
        slots=SlotPool(
            board=board,
            membership=membership,
            workload=workload,
            links=links,
            server=peer_server,
            timer=timer,
        ),
        limits=limits,
    )
    reach_monitor = ReachMonitor(
        board=board, timer=timer, probe=probe, generator=generator
    )
    reach_monitor.subscribe(chooser.forget_failures)
    confirmed_probe = ConfirmedProbe(
        board=board,
        probe=probe,
        start_probe=start_probe,
        monitor=reach_monitor,
        membership=membership,
        links=links,
        server=peer_server,
        generator=generator,
    )
    prover = StartProver(board=board, probe=confirmed_probe)
    peer_sends = PeerSendServer(
        board=board,
        chooser=chooser,
        monitor=reach_monitor,
        sender=sender,
        server=peer_server,
        timer=timer,
    )
    path_sender = PathSender(
        monitor=reach_monitor,
        direct=sender,
        through_peers=PeerSender(
            board=board,
            membership=membership,
            streams=streams,
            timer=timer,
            generator=generator,
        ),
    )
    crash_recorder = CrashRecorder(
        board=board,
        store=store,
        links=links,
        list_live_hosts=membership.list_live_hosts,
    )
    crash_watcher = CrashWatcher(
        host=board.host,
        probe=confirmed_probe,
        recorder=crash_recorder,
        server=peer_server,
        timer=timer,
        list_live_hosts=membership.list_live_hosts,
        unix_offset_s=process_start.offset,
        generator=generator,
    )
    stream_versions = StreamVersions(
        board=board,
        membership=membership,
        links=links,
        server=peer_server,
        timer=timer,
        prover=prover,
    )
    admission_home, admission = (
        make_admission_queue(
            board, membership, links, peer_server, timer, generator, chooser
        )
        if settings.has_admission_queue
        else (None, None)
    )
    pipeline = ForwardingPipeline(
        board=board,
        escrow=escrow,
        chooser=chooser,
        sender=path_sender,
        crashes=crash_watcher,
        binder=StreamBinder(
            board=board, prover=prover, stream_versions=stream_versions
        ),
        generator=generator,
        admission=admission,
    )
    return FleetParts(
        timer=timer,
        followers=followers,
        membership=membership,
        lock_keeper=lock_keeper,
        home=home,
        escrow=escrow,
        workload=workload,
        permits=permits,
        crash_recorder=crash_recorder,
        crash_watcher=crash_watcher,
        reach_monitor=reach_monitor,
        peer_sends=peer_sends,
        stream_versions=stream_versions,
        chooser=chooser,
        pipeline=pipeline,
        admission_home=admission_home,
        admission=admission,
    )


def make_admission_queue(
    board: FleetBoard,
    membership: FleetMembership,
    links: PeerLinks,
    server: PeerServer,
    timer: TimerService,
    generator: random.Random,
    chooser: TargetChooser,
) -> "tuple[AdmissionHome, AdmissionClient]":
    """Create the components that share the capacity of services by queues."""
    # Hosts without an admission queue do not load its modules, to save memory.
    from trefoilstage.components.admission_queue.client import AdmissionClient
    from trefoilstage.components.admission_queue.home import AdmissionHome

    home = AdmissionHome(
        board=board,
        membership=membership,
        server=server,
        timer=timer,
        generator=generator,
    )
    client = AdmissionClient(
        board=board,
        membership=membership,
        home=home,
        links=links,
        timer=timer,
        generator=generator,
        list_unusable=chooser.list_unusable,
    )
    return home, client
