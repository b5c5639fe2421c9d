"""Count the permits that one host granted for targets; pure.

A permit allows one request. The limit on a cold target is a number of requests that
arrive within a second; a target in need names a number of requests a second.
"""

from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass, field

from trefoilstage.components.forwarding.models import TargetService
from trefoilstage.fleet_settings import FleetSettings

LIMIT_WINDOW_S = 1.0
# The time from asking for a permit until its request is sent, at most.
PERMIT_LIFE_S = 0.5
# Permits granted within this time may be used within one second.
GRANT_WINDOW_S = LIMIT_WINDOW_S + PERMIT_LIFE_S
# While hosts join or leave, two hosts may take themselves for a target's home.
N_CONCURRENT_HOMES = 2
# A home grants what a target names, unless another one may do so too: both together
# stay below one and a half times the limit, which targets tolerate over some seconds.
STEADY_SHARE = 1.0
UNSETTLED_SHARE = 0.4
# Requests that arrive together at a target that names a limit. A home that grants less
# than the limit spreads its permits, or the target would be idle for long after two.
N_PERMITS_AT_ONCE = 2
N_UNSETTLED_PERMITS_AT_ONCE = 1
# All hosts together send this many requests a second to a target that turned one away
# and asked for rest, while others serve, until it takes one.
REFUSING_LIMIT_PER_S = 2 / 3
# A target that takes less, or nothing, still gets a request now and then: only an
# answer can end its limit.
MIN_LIMIT_PER_S = 0.1
# Longer than the window of any rate.
MAX_WINDOW_S = 60.0


@dataclass(frozen=True, kw_only=True, slots=True)
class PermitRate:
    """Describe how many permits may be granted within a window."""

    n_permits: int
    window_s: float


def compute_cold_limit(settings: FleetSettings, service: TargetService) -> float | None:
    """Return the limit for a cold target, in requests a second; None without limit."""
    if (
        settings.cold_rate_factor is None
        or settings.cold_rate_slack is None
        or service.cold_requests_per_s is None
    ):
        return None
    tolerated = settings.cold_rate_factor * service.cold_requests_per_s
    return tolerated + settings.cold_rate_slack


def compute_cold_rate(limit_per_s: float) -> PermitRate:
    """Return the rate at which one home permits requests to a cold target."""
    return PermitRate(
        n_permits=int(limit_per_s / N_CONCURRENT_HOMES), window_s=GRANT_WINDOW_S
    )


def compute_named_rate(limit_per_s: float, share: float) -> PermitRate:
    """Return the rate at which one home permits requests to a target in need."""
    permits_per_s = share * max(limit_per_s, MIN_LIMIT_PER_S)
    is_steady = share >= STEADY_SHARE
    n_permits = N_PERMITS_AT_ONCE if is_steady else N_UNSETTLED_PERMITS_AT_ONCE
    return PermitRate(n_permits=n_permits, window_s=n_permits / permits_per_s)


@dataclass(kw_only=True, slots=True)
class PermitCounter:
    """Grant permits for each target within the rates that hold for it."""

    granted_at: dict[str, deque[float]] = field(default_factory=dict)  # by incarnation

    def take(self, target: str, rates: Sequence[PermitRate], now: float) -> float:
        """Grant and count a permit, and return 0; or return the seconds to wait."""
        self._remove_expired(now)
        granted_at = self.granted_at.get(target, deque())
        wait_s = max(
            (compute_wait_s(granted_at, rate, now) for rate in rates), default=0.0
        )
        if wait_s > 0.0:
            return wait_s
        granted_at.append(now)
        self.granted_at[target] = granted_at
        return 0.0

    def count_granted(self, now: float) -> dict[str, int]:
        """Return the permits granted within GRANT_WINDOW_S, by target."""
        self._remove_expired(now)
        return {
            target: sum(now - time <= GRANT_WINDOW_S for time in times)
            for target, times in self.granted_at.items()
        }

    def _remove_expired(self, now: float) -> None:
        for target, granted_at in list(self.granted_at.items()):
            while granted_at and now - granted_at[0] > MAX_WINDOW_S:
                granted_at.popleft()
            if not granted_at:
                del self.granted_at[target]


def compute_wait_s(granted_at: Sequence[float], rate: PermitRate, now: float) -> float:
    """Return the seconds until a rate allows a permit after those granted before."""
    if rate.n_permits <= 0:
        return rate.window_s
    if len(granted_at) < rate.n_permits:
        return 0.0
    return max(0.0, granted_at[-rate.n_permits] + rate.window_s - now)
