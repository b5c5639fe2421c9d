"""Share the slots of brittle targets among the hosts of a large fleet.

A brittle target falls over when it turns requests away, so hosts must not send more
than it has slots. Split among hundreds of hosts, a target's slots are too few for a
share each: hosts would refuse callers while other hosts' slots are free. The home of a
target therefore hands its slots out one by one. It knows which are taken by the hosts'
reports of their work, and by the slots that it granted since.
"""

from collections import defaultdict, deque

from trefoilstage.components.fleet.membership import FleetMembership
from trefoilstage.components.forwarding.models import TargetEntry
from trefoilstage.components.forwarding.workload import (
    MAX_HOME_SILENCE_S,
    WorkloadController,
)
from trefoilstage.components.peers.links import PeerLinks
from trefoilstage.components.peers.server import PeerServer
from trefoilstage.components.permits.messages import SlotReply, SlotRequest
from trefoilstage.components.targets.brittle import count_own_slots
from trefoilstage.exceptions import PeerUnavailableError
from trefoilstage.fleet_board import FleetBoard
from trefoilstage.timer import TimerService
from trefoilstage.util.hashing import rank_by_rendezvous_cached

SLOT_TIMEOUT_S = 0.1
# A granted slot shows in its host's report by then: one report interval, and a margin.
PENDING_S = 0.15
# A new home knows all work after this time: hosts repeat their reports.
SETTLE_S = 1.5


class SlotPool:
    """Ask the homes of brittle targets for slots, and grant those of the own ones."""

    def __init__(
        self,
        *,
        board: FleetBoard,
        membership: FleetMembership,
        workload: WorkloadController,
        links: PeerLinks,
        server: PeerServer,
        timer: TimerService,
    ) -> None:
        self._board = board
        self._membership = membership
        self._workload = workload
        self._links = links
        self._timer = timer
        self._granted: dict[str, deque[float]] = defaultdict(deque)
        server.register(SlotRequest, self._answer)

    def is_pooled(self, service: str) -> bool:
        """Return whether a service's slots are handed out one by one."""
        is_brittle = self._board.brittle.is_brittle(service, self._timer.now())
        return is_brittle and self._workload.is_fleet_large()

    def may_have_room(self, target: TargetEntry) -> bool:
        """Return whether this host may have a slot of a brittle target."""
        return self._workload.is_fleet_large() or self._has_own_room(target)

    def _has_own_room(self, target: TargetEntry) -> bool:
        """Return whether this host's own share of a target's slots has one left."""
        incarnation = target.incarnation
        hosts = self._membership.list_live_hosts()
        n_slots = count_own_slots(self._board.host, hosts, incarnation, target.slots)
        return self._workload.count_own_requests(incarnation) < n_slots

    async def take(self, target: TargetEntry) -> bool:
        """Return whether this host may send a target a request.

        Without a home that knows, the host has its own share of the slots.
        """
        is_free = await self._ask_home(target)
        return self._has_own_room(target) if is_free is None else is_free

    async def _ask_home(self, target: TargetEntry) -> bool | None:
        request = SlotRequest(target=target.incarnation, n_slots=target.slots)
        home = self._find_home(request.target)
        if home is None:
            return None
        if home == self._board.host:
            return self._grant(request)
        try:
            reply = await self._links.get_link(self._board.peers[home].peer_url).call(
                request, timeout_s=SLOT_TIMEOUT_S
            )
        except PeerUnavailableError:
            # This host's own share remains.
            return None
        return reply.granted if isinstance(reply, SlotReply) else None

    async def _answer(self, request: SlotRequest) -> SlotReply:
        return SlotReply(granted=self._grant(request))

    def _grant(self, request: SlotRequest) -> bool | None:
        """Return whether a slot is free, None if this host can't know."""
        now = self._timer.now()
        is_home = self._find_home(request.target) == self._board.host
        if not is_home or now - self._board.live_changed_at < SETTLE_S:
            return None
        granted = self._granted[request.target]
        while granted and now - granted[0] > PENDING_S:
            granted.popleft()
        n_taken = self._workload.get_work(request.target).n_requests + len(granted)
        if n_taken >= request.n_slots:
            return False
        granted.append(now)
        self._forget_unlisted()
        return True

    def _find_home(self, incarnation: str) -> str | None:
        live = self._board.list_live_hosts(self._timer.now(), MAX_HOME_SILENCE_S)
        ranked = rank_by_rendezvous_cached(incarnation, live)
        return ranked[0] if ranked else None

    def _forget_unlisted(self) -> None:
        listed = self._board.targets.list_incarnations()
        if len(self._granted) > len(listed):
            for incarnation in self._granted.keys() - listed:
                del self._granted[incarnation]
