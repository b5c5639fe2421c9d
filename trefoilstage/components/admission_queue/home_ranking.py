"""Rank the hosts that may be a service's home, without those that don't reply."""

import random
from collections.abc import Iterator

from trefoilstage.components.fleet.membership import FleetMembership
from trefoilstage.fleet_board import FleetBoard
from trefoilstage.helpers.events import Event, log_event
from trefoilstage.timer import TimerService
from trefoilstage.util.backoff import Backoff
from trefoilstage.util.hashing import rank_by_rendezvous_cached

FIRST_SILENT_PAUSE_S = 0.5
MAX_SILENT_PAUSE_S = 8.0


class HomeRanking:
    """Rank homes, and pass over silent ones for growing pauses."""

    def __init__(
        self,
        *,
        board: FleetBoard,
        membership: FleetMembership,
        timer: TimerService,
        generator: random.Random,
    ) -> None:
        self._board = board
        self._membership = membership
        self._timer = timer
        self._generator = generator
        # Hosts that did not reply, with the times from which they are asked again.
        self._silent_until: dict[str, float] = {}
        self._pauses: dict[str, Backoff] = {}

    def rank(self, service: str) -> Iterator[str]:
        """Yield the hosts that may be a service's home, the first one first."""
        now = self._timer.now()
        live = self._membership.list_live_hosts()
        for host in rank_by_rendezvous_cached(service, live):
            if self._silent_until.get(host, now) <= now:
                yield host

    def record_reply(self, host: str) -> None:
        """Record that a host replied; its next pause is short again."""
        self._pauses.pop(host, None)

    def record_silent(self, host: str, error: str) -> None:
        """Pass over a host that did not reply."""
        now = self._timer.now()
        # Over a full link no home replies in time. If they were marked, all homes would
        # be considered silent, and many hosts would grant places for the same slots.
        if self._silent_until.get(host, now) > now or self._board.is_link_full(now):
            return
        pause = self._pauses.setdefault(
            host,
            Backoff(
                initial_s=FIRST_SILENT_PAUSE_S,
                maximum_s=MAX_SILENT_PAUSE_S,
                generator=self._generator,
            ),
        ).next_delay()
        self._silent_until[host] = now + pause
        log_event(Event.ADMISSION_HOME_SILENT, peer=host, pause_s=pause, error=error)
