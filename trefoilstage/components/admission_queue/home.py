"""Answer the hosts that ask for places of the services whose home this host is.

Hosts may disagree on a service's home for a while, so this host answers all that ask.
"""

import random
from functools import partial

from mode import Service

from trefoilstage.components.admission_queue.capacity import count_capacity
from trefoilstage.components.admission_queue.messages import (
    AdmissionReport,
    PlaceReply,
    PlaceRequest,
    ReturnPlaces,
    ServiceState,
)
from trefoilstage.components.admission_queue.service_queue import (
    ServiceQueue,
    ServiceSnapshot,
)
from trefoilstage.components.fleet.membership import FleetMembership
from trefoilstage.components.peers.server import PeerServer
from trefoilstage.components.targets.brittle import BrittleServices
from trefoilstage.fleet_board import FleetBoard
from trefoilstage.timer import TimerService

# Waiting requests learn this late that their time is over, or that a target returned.
UPDATE_INTERVAL_S = 0.05


class AdmissionHome(Service):
    """Keep a queue for each service whose hosts use this home."""

    def __init__(
        self,
        *,
        board: FleetBoard,
        membership: FleetMembership,
        server: PeerServer,
        timer: TimerService,
        generator: random.Random,
    ) -> None:
        super().__init__()
        self._board = board
        self._membership = membership
        self._timer = timer
        self._generator = generator
        self._queues: dict[str, ServiceQueue] = {}
        # As reported by hosts. Their own answers stay apart from it: a host that
        # reported what it was told would never forget it.
        self._brittle = BrittleServices()
        server.register(AdmissionReport, self.receive_report)
        server.register(PlaceRequest, self.answer_request)
        server.register(ReturnPlaces, self.receive_returns)

    async def on_start(self) -> None:
        """Start the periodic updates."""
        self._unsubscribe = self._timer.subscribe(
            name="admission", interval_s=UPDATE_INTERVAL_S, callback=self._update
        )

    async def on_stop(self) -> None:
        """Stop the periodic updates."""
        self._unsubscribe()

    def count_waiting(self) -> int:
        """Return the number of requests that wait here."""
        return sum(queue.n_waiting for queue in self._queues.values())

    def describe(self) -> dict[str, dict[str, int]]:
        """Return the number of waiting requests by service and workspace."""
        return {name: queue.count_waiting() for name, queue in self._queues.items()}

    async def receive_report(self, report: AdmissionReport) -> ServiceState:
        """Record what a host holds; reply whether the service is contended."""
        now = self._timer.now()
        if report.brittle:
            self._brittle.record(report.service, now)
        queue = self._get_queue(report.service, now)
        queue.receive_report(report, now)
        return ServiceState(contended=queue.is_contended)

    async def answer_request(self, request: PlaceRequest) -> PlaceReply:
        """Reply when there is a place, or that there will be none in time."""
        now = self._timer.now()
        queue = self._get_queue(request.service, now)
        try:
            return await queue.add(request, now)
        finally:
            queue.withdraw(request.request)

    async def receive_returns(self, message: ReturnPlaces) -> None:
        """End places, and withdraw requests that still wait."""
        queue = self._queues.get(message.service)
        if queue is not None:
            queue.release(message.requests, self._timer.now())

    async def _update(self) -> None:
        now = self._timer.now()
        for service, queue in list(self._queues.items()):
            queue.update(now)
            if queue.is_unused:
                del self._queues[service]

    def _get_queue(self, service: str, now: float) -> ServiceQueue:
        queue = self._queues.get(service)
        if queue is None:
            queue = ServiceQueue(
                service=service,
                take_snapshot=partial(self._take_snapshot, service),
                generator=self._generator,
                now=now,
            )
            self._queues[service] = queue
        return queue

    def _take_snapshot(self, service: str) -> ServiceSnapshot:
        now = self._timer.now()
        known = (self._board.brittle, self._brittle)
        is_brittle = any(item.is_brittle(service, now) for item in known)
        return ServiceSnapshot(
            targets={
                target.incarnation: count_capacity(
                    self._board, target, is_brittle=is_brittle
                )
                for target in self._board.targets.list_ready(service, now)
            },
            live_hosts=self._membership.list_live_hosts(),
        )
