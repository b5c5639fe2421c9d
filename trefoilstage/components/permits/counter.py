"""Count the permits that one host granted for cold targets; pure.

A permit allows one request. The limit on a cold target is a number of requests that
arrive within a second.
"""

from collections import deque
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


@dataclass(kw_only=True, slots=True)
class PermitCounter:
    """Grant a limited number of permits for each target within GRANT_WINDOW_S."""

    granted_at: dict[str, deque[float]] = field(default_factory=dict)  # by incarnation

    def take(self, target: str, limit_per_s: float, now: float) -> bool:
        """Return whether a permit is granted, and count it."""
        self._remove_expired(now)
        granted_at = self.granted_at.get(target, deque())
        if len(granted_at) >= int(limit_per_s / N_CONCURRENT_HOMES):
            return False
        granted_at.append(now)
        self.granted_at[target] = granted_at
        return True

    def count_granted(self, now: float) -> dict[str, int]:
        """Return the permits granted within GRANT_WINDOW_S, by target."""
        self._remove_expired(now)
        return {target: len(times) for target, times in self.granted_at.items()}

    def _remove_expired(self, now: float) -> None:
        for target, granted_at in list(self.granted_at.items()):
            while granted_at and now - granted_at[0] > GRANT_WINDOW_S:
                granted_at.popleft()
            if not granted_at:
                del self.granted_at[target]
