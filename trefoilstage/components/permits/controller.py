"""Grant and obtain permits to send requests to cold targets.

A cold target crashes under a rate that a warm one bears, and hosts can't see each
other's requests in time to keep a common rate. One host, the target's home, therefore
permits each request. The home is the first by rendezvous hash of all hosts in the
store's list, whether they run or not: a choice among live hosts would differ from host
to host while they are cut off from each other, and each could grant the whole rate.
Without the home's reply a host sends nothing to the target until it is warm.
"""

from collections.abc import Callable

from mode import Service

from trefoilstage.components.forwarding.models import TargetEntry
from trefoilstage.components.peers.links import PeerLinks
from trefoilstage.components.peers.server import PeerServer
from trefoilstage.components.permits.counter import (
    GRANT_WINDOW_S,
    PERMIT_LIFE_S,
    PermitCounter,
    compute_cold_limit,
)
from trefoilstage.components.permits.messages import PermitReply, PermitRequest
from trefoilstage.exceptions import PeerUnavailableError
from trefoilstage.fleet_board import FleetBoard
from trefoilstage.fleet_settings import FleetSettings
from trefoilstage.timer import TimerService
from trefoilstage.util.hashing import rank_by_rendezvous

# Leaves the rest of PERMIT_LIFE_S for the connection to the target.
PERMIT_TIMEOUT_S = 0.1
# Homes that refused are not asked again sooner: many requests choose targets at once.
REFUSAL_PAUSE_S = 0.1


class TargetPermits(Service):
    """Ask the homes of cold targets for permits, and answer for the own ones."""

    def __init__(
        self,
        *,
        board: FleetBoard,
        settings: FleetSettings,
        links: PeerLinks,
        server: PeerServer,
        timer: TimerService,
        has_host_list: Callable[[], bool],
    ) -> None:
        super().__init__()
        self._board = board
        self._settings = settings
        self._links = links
        self._timer = timer
        self._has_host_list = has_host_list
        self._counter = PermitCounter()
        self._refused_until: dict[str, float] = {}
        self._grants_from = float("inf")
        server.register(PermitRequest, self._answer_request)

    async def on_start(self) -> None:
        """Grant nothing yet: the previous incarnation may just have granted permits."""
        self._grants_from = self._timer.now() + GRANT_WINDOW_S

    async def request(self, target: TargetEntry) -> bool:
        """Return whether one request may be sent to a cold target now."""
        now = self._timer.now()
        incarnation = target.incarnation
        if now < self._refused_until.get(incarnation, now):
            return False
        is_granted = await self._ask_home(incarnation, target.service)
        if not is_granted:
            self._remove_expired(now)
            self._refused_until[incarnation] = now + REFUSAL_PAUSE_S
            return False
        # A late reply is of no use: the home counts newer permits by now.
        return self._timer.now() - now <= PERMIT_LIFE_S

    def list_granted(self) -> dict[str, int]:
        """Return the permits that this host granted lately, by target."""
        return self._counter.count_granted(self._timer.now())

    def _remove_expired(self, now: float) -> None:
        self._refused_until = {
            target: until
            for target, until in self._refused_until.items()
            if until > now
        }

    async def _ask_home(self, incarnation: str, service: str) -> bool:
        home = self._find_home(incarnation)
        if home is None:
            return False
        if home == self._board.host:
            return self._grant(incarnation, service)
        request = PermitRequest(target=incarnation, service=service)
        link = self._links.get_link(self._board.peers[home].peer_url)
        try:
            reply = await link.call(request, timeout_s=PERMIT_TIMEOUT_S)
        except PeerUnavailableError:
            return False
        return isinstance(reply, PermitReply) and reply.granted

    def _find_home(self, incarnation: str) -> str | None:
        """Return a target's home, None before the store's list of hosts was read."""
        if not self._has_host_list():
            return None
        hosts = sorted([*self._board.peers, self._board.host])
        return rank_by_rendezvous(incarnation, hosts)[0]

    async def _answer_request(self, request: PermitRequest) -> PermitReply:
        is_home = self._find_home(request.target) == self._board.host
        granted = is_home and self._grant(request.target, request.service)
        return PermitReply(granted=granted)

    def _grant(self, incarnation: str, service_name: str) -> bool:
        now = self._timer.now()
        configuration = self._board.configuration
        service = configuration and configuration.services.get(service_name)
        limit = service and compute_cold_limit(self._settings, service)
        if not limit or now < self._grants_from:
            return False
        return self._counter.take(incarnation, limit, now)
