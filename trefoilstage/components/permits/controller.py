"""Grant and obtain permits to send requests to targets that take few of them.

A cold target crashes under a rate that a warm one bears, and a target in need names the
rate that it takes. Hosts can't see each other's requests in time to keep a common rate.
One host, the target's home, therefore permits each request. The home is the first by
rendezvous hash of all hosts in the store's list, whether they run or not: a choice
among live hosts would differ from host to host while they are cut off from each other,
and each could grant the whole rate. Without the home's reply a host sends nothing to a
cold target until it is warm, and to one that names a limit a request now and then.
"""

import random
from collections.abc import Callable

from mode import Service

from trefoilstage.components.forwarding.models import TargetEntry
from trefoilstage.components.peers.links import PeerLinks
from trefoilstage.components.peers.server import PeerServer
from trefoilstage.components.permits.counter import (
    GRANT_WINDOW_S,
    PERMIT_LIFE_S,
    REFUSING_LIMIT_PER_S,
    STEADY_SHARE,
    UNSETTLED_SHARE,
    PermitCounter,
    PermitRate,
    compute_cold_limit,
    compute_cold_rate,
    compute_named_rate,
)
from trefoilstage.components.permits.known_limits import KnownLimits
from trefoilstage.components.permits.messages import PermitReply, PermitRequest
from trefoilstage.exceptions import PeerUnavailableError
from trefoilstage.fleet_board import FleetBoard
from trefoilstage.fleet_settings import FleetSettings
from trefoilstage.timer import TimerService
from trefoilstage.util.backoff import Backoff
from trefoilstage.util.hashing import rank_by_rendezvous_cached

# Leaves the rest of PERMIT_LIFE_S for the connection to the target.
PERMIT_TIMEOUT_S = 0.1
# Homes that refused are not asked again sooner: many requests choose targets at once.
REFUSAL_PAUSE_S = 0.1
# By then, the target may name another limit.
MAX_PAUSE_S = 2.0
CHECK_INTERVAL_S = 1.0
# After a change of the store's list of hosts, all hosts read it within this time.
SETTLE_S = 5.0
# Each call to a home that does not reply costs a caller PERMIT_TIMEOUT_S.
FIRST_UNREACHABLE_PAUSE_S = 0.5
MAX_UNREACHABLE_PAUSE_S = 8.0
# A limited target whose home does not reply is tried this often by all hosts together.
# The store lists lost hosts permanently, and only an answer shows that a limit ended.
PROBE_INTERVAL_S = 10.0


class TargetPermits(Service):
    """Ask the homes of targets for permits, and answer for the own ones."""

    def __init__(
        self,
        *,
        board: FleetBoard,
        settings: FleetSettings,
        links: PeerLinks,
        server: PeerServer,
        timer: TimerService,
        limits: KnownLimits,
        has_host_list: Callable[[], bool],
        generator: random.Random,
    ) -> None:
        super().__init__()
        self._board = board
        self._settings = settings
        self._links = links
        self._timer = timer
        self._limits = limits
        self._has_host_list = has_host_list
        self._generator = generator
        self._counter = PermitCounter()
        self._refused_until: dict[str, float] = {}
        # While the home of a target does not reply, by incarnation.
        self._unreachable_pauses: dict[str, Backoff] = {}
        self._probe_at: dict[str, float] = {}
        self._grants_from = float("inf")
        self._hosts: tuple[str, ...] = ()  # that the store lists, sorted
        self._hosts_changed_at = float("-inf")
        server.register(PermitRequest, self._answer_request)

    async def on_start(self) -> None:
        """Grant nothing yet: the previous incarnation may just have granted permits."""
        self._grants_from = self._timer.now() + GRANT_WINDOW_S
        self._unsubscribe = self._timer.subscribe(
            name="limits", interval_s=CHECK_INTERVAL_S, callback=self._check
        )

    async def on_stop(self) -> None:
        """Stop the periodic check."""
        self._unsubscribe()

    async def _check(self) -> None:
        self._update_hosts()
        self._limits.remove_ended()
        listed = self._board.targets.list_incarnations()
        for target in set(self._unreachable_pauses).difference(listed):
            del self._unreachable_pauses[target]
            self._probe_at.pop(target, None)

    def get_wait_s(self, target: TargetEntry) -> float:
        """Return the seconds until a permit for a target may be asked for again."""
        now = self._timer.now()
        return max(0.0, self._refused_until.get(target.incarnation, now) - now)

    async def request(self, target: TargetEntry, *, is_cold: bool) -> bool:
        """Return whether one request may be sent to a target now."""
        now = self._timer.now()
        incarnation = target.incarnation
        if self.get_wait_s(target) > 0.0:
            return False
        reply = await self._ask_home(
            PermitRequest(
                target=incarnation,
                service=target.service,
                is_cold=is_cold,
                limit=self._limits.make_report(incarnation),
            )
        )
        if reply is None:
            self._pause(incarnation, self._get_unreachable_pause(incarnation))
            return not is_cold and self._take_probe(incarnation)
        self._unreachable_pauses.pop(incarnation, None)
        self._probe_at.pop(incarnation, None)
        if not reply.granted:
            self._pause(
                incarnation, min(MAX_PAUSE_S, max(reply.wait_s, REFUSAL_PAUSE_S))
            )
            return False
        # A late reply is of no use: the home counts newer permits by now.
        return self._timer.now() - now <= PERMIT_LIFE_S

    def list_granted(self) -> dict[str, int]:
        """Return the permits that this host granted lately, by target."""
        return self._counter.count_granted(self._timer.now())

    def _pause(self, incarnation: str, seconds: float) -> None:
        now = self._timer.now()
        self._remove_expired(now)
        self._refused_until[incarnation] = now + seconds

    def _get_unreachable_pause(self, incarnation: str) -> float:
        backoff = self._unreachable_pauses.setdefault(
            incarnation,
            Backoff(
                initial_s=FIRST_UNREACHABLE_PAUSE_S,
                maximum_s=MAX_UNREACHABLE_PAUSE_S,
                generator=self._generator,
            ),
        )
        return backoff.next_delay()

    def _take_probe(self, incarnation: str) -> bool:
        """Return whether this host may try a target whose home does not reply.

        Each host does so at its own random times. All of them together send one request
        in PROBE_INTERVAL_S on average, however many they are and whoever is cut off.
        """
        now = self._timer.now()
        period_s = PROBE_INTERVAL_S * (len(self._board.peers) + 1)
        probe_at = self._probe_at.setdefault(
            incarnation, now + self._generator.uniform(0.0, period_s)
        )
        if now < probe_at:
            return False
        self._probe_at[incarnation] = now + period_s
        return True

    def _remove_expired(self, now: float) -> None:
        self._refused_until = {
            target: until
            for target, until in self._refused_until.items()
            if until > now
        }

    async def _ask_home(self, request: PermitRequest) -> PermitReply | None:
        """Return the home's reply, None without one."""
        home = self._find_home(request.target)
        if home is None:
            return PermitReply(granted=False)
        if home == self._board.host:
            return self._grant(request)
        link = self._links.get_link(self._board.peers[home].peer_url)
        try:
            reply = await link.call(request, timeout_s=PERMIT_TIMEOUT_S)
        except PeerUnavailableError:
            return None
        if not isinstance(reply, PermitReply):
            return PermitReply(granted=False)
        if reply.limit is not None:
            self._limits.receive_reports([reply.limit])
        return reply

    def _find_home(self, incarnation: str) -> str | None:
        """Return a target's home, None before the store's list of hosts was read."""
        if not self._has_host_list():
            return None
        self._update_hosts()
        return rank_by_rendezvous_cached(incarnation, self._hosts)[0]

    def _update_hosts(self) -> None:
        hosts = tuple(sorted([*self._board.peers, self._board.host]))
        if hosts != self._hosts:
            self._hosts = hosts
            self._hosts_changed_at = self._timer.now()

    async def _answer_request(self, request: PermitRequest) -> PermitReply:
        if self._find_home(request.target) != self._board.host:
            return PermitReply(granted=False)
        if request.limit is not None:
            self._limits.receive_reports([request.limit])
        return self._grant(request)

    def _grant(self, request: PermitRequest) -> PermitReply:
        rates = self._list_rates(request)
        now = self._timer.now()
        if rates is None:
            wait_s = REFUSAL_PAUSE_S
        elif now < self._grants_from:
            wait_s = self._grants_from - now
        else:
            wait_s = self._counter.take(request.target, rates, now)
        return PermitReply(
            granted=wait_s <= 0.0,
            wait_s=wait_s,
            limit=self._limits.make_report(request.target),
        )

    def _list_rates(self, request: PermitRequest) -> list[PermitRate] | None:
        """Return the rates that hold for a target, None if they are not known."""
        rates: list[PermitRate] = []
        if request.is_cold:
            configuration = self._board.configuration
            service = configuration and configuration.services.get(request.service)
            limit = service and compute_cold_limit(self._settings, service)
            if not limit:
                return None
            rates.append(compute_cold_rate(limit))
        named = self._limits.get_limit(request.target)
        share = self._get_share()
        if named is not None:
            rates.append(compute_named_rate(named, share))
        if self._limits.is_refusing(request.target):
            rates.append(compute_named_rate(REFUSING_LIMIT_PER_S, share))
        return rates

    def _get_share(self) -> float:
        """Return the share of a target's limit that this host grants as its home."""
        is_listed_anew = self._timer.now() - self._hosts_changed_at < SETTLE_S
        # A host that does not read the store may follow an old list of hosts.
        if is_listed_anew or self._board.store.out_of_reach:
            return UNSETTLED_SHARE
        return STEADY_SHARE
