"""Exchange the hosts' work in progress at the targets, by incarnation of the target.

In a small fleet, each host reports its work to all peers. In a large fleet, each target
has a home: the host that collects all hosts' work at this target. Hosts report only to
the home and query it before they choose a target. When 66 hosts all reported to each
other, the reports used most of their processor time.
"""

import asyncio
import math
from collections import defaultdict
from collections.abc import Iterable, Mapping, Sequence

from mode import Service

from trefoilstage.components.forwarding.messages import (
    CachedPrompt,
    WorkQuery,
    WorkReport,
    WorkTotals,
)
from trefoilstage.components.forwarding.models import PromptPart
from trefoilstage.components.forwarding.peer_work import (
    MAX_REPORT_AGE_S,
    HomeTotals,
    PeerWork,
)
from trefoilstage.components.forwarding.prefill_speed import PrefillTotals
from trefoilstage.components.forwarding.prefix_fetch import get_transfer_cost
from trefoilstage.components.forwarding.prompt_cache import PromptCaches
from trefoilstage.components.forwarding.recent_sends import RecentSends
from trefoilstage.components.forwarding.shared_prefill_speeds import SharedPrefillSpeeds
from trefoilstage.components.forwarding.work import Work, sum_work
from trefoilstage.components.peers.links import PeerLinks
from trefoilstage.components.peers.server import PeerServer
from trefoilstage.exceptions import PeerUnavailableError
from trefoilstage.fleet_board import FleetBoard
from trefoilstage.timer import TimerService
from trefoilstage.util.hashing import rank_by_rendezvous_cached

# Prefill of a prompt of 12,000 tokens takes 0.2 s. Half of that is short enough for
# reports to describe prompts that are still being processed.
REPORT_INTERVAL_S = 0.1
# Prompts this long are reported immediately: short prompts sent to the same target wait
# for up to 1.4 s until the long one is processed. With reports every 0.1 s only, 7% of
# all streams began late, mostly short ones behind a prompt of over 40,000 tokens.
LONG_PROMPT_TOKENS = 2_000
COALESCE_DELAY_S = 0.003
REPORT_TIMEOUT_S = 0.5
# A host is not used as a home after a longer time without a heartbeat. Heartbeats may
# be this late.
MAX_HOME_SILENCE_S = 3.0
# Unchanged work is reported again before its previous report expires at the peers.
REPEAT_INTERVAL_S = MAX_REPORT_AGE_S / 2
# A home replies in 1 to 2 ms. Without its reply, the choice is based on the work that
# this host knows.
QUERY_TIMEOUT_S = 0.05
# On a full link every call takes longer, including the token hold that runs at the same
# time. With a shorter timeout, the busiest hosts would choose without the peers' work.
QUERY_TIMEOUT_ROUND_TRIPS = 1.5
MAX_QUERY_TIMEOUT_S = 0.5
NO_WORK = Work()


class WorkloadController(Service):
    """Track this host's work at each target and combine it with the peers' reports."""

    def __init__(
        self,
        *,
        board: FleetBoard,
        links: PeerLinks,
        server: PeerServer,
        timer: TimerService,
    ) -> None:
        super().__init__()
        self._board = board
        self._links = links
        self._timer = timer
        self._own: dict[str, Work] = {}
        self._peer_work = PeerWork()
        self._home_totals = HomeTotals()
        self._reported: dict[str, Work] = {}
        self._reported_at: dict[str, float] = {}
        self._is_report_scheduled = False
        self._caches = PromptCaches()
        self._recent_sends = RecentSends()
        self._unreported_prompts: list[CachedPrompt] = []
        self._prefill_speeds = SharedPrefillSpeeds()
        server.register(WorkReport, self._receive_report)
        server.register(WorkQuery, self._answer_query)

    async def on_start(self) -> None:
        """Start the periodic reports."""
        self._unsubscribe = self._timer.subscribe(
            name="workload", interval_s=REPORT_INTERVAL_S, callback=self._report
        )

    async def on_stop(self) -> None:
        """Stop the periodic reports."""
        self._unsubscribe()

    def adjust_work(
        self,
        target: str,
        *,
        n_requests: int = 0,
        prompt_tokens: int = 0,
        held_tokens: int = 0,
    ) -> None:
        """Add work at a target; numbers below 0 remove work that ended."""
        current = self._own.get(target, NO_WORK)
        change = Work(
            n_requests=n_requests,
            prompt_tokens=prompt_tokens,
            held_tokens=held_tokens,
        )
        changed = sum_work([current, change])
        if changed == NO_WORK:
            self._own.pop(target, None)
        else:
            self._own[target] = changed
        if abs(prompt_tokens) >= LONG_PROMPT_TOKENS and not self._is_report_scheduled:
            self._is_report_scheduled = True
            self.add_future(self._report_soon())

    def add_prompt(
        self, target: str, kv_tokens: int, prompt: Sequence[PromptPart]
    ) -> None:
        """Record that this host sends a prompt to a target."""
        sent = CachedPrompt(target=target, kv_tokens=kv_tokens, parts=tuple(prompt))
        self._add_sent_prompts(self._board.host, (sent,))
        self._unreported_prompts.append(sent)

    def count_cached(self, target: str, prompt: Sequence[PromptPart]) -> int:
        """Return the number of a prompt's tokens that a target has cached."""
        return self._caches.count_cached(target, prompt)

    def count_settled(
        self, target: str, prompt: Sequence[PromptPart], before: float
    ) -> int:
        """Return the number of a prompt's tokens cached since before a time."""
        return self._caches.count_settled(target, prompt, before)

    def add_prefill_sample(self, target: str, n_tokens: int, seconds: float) -> None:
        """Record the tokens and seconds until a prompt's first token."""
        self._prefill_speeds.add_sample(target, n_tokens, seconds, self._timer.now())

    def get_prefill_speed(self, target: str) -> float:
        """Return a target's estimated prefill speed in tokens per second."""
        return self._prefill_speeds.get_speed(target, self._timer.now())

    @property
    def mean_prefill_speed(self) -> float:
        """Return the targets' mean prefill speed as of the last choice of a target."""
        return self._prefill_speeds.fleet_speed

    def get_work(self, target: str) -> Work:
        """Return the known work of all hosts at a target."""
        now = self._timer.now()
        own = self._own.get(target, NO_WORK)
        peers = self._peer_work.list_work(target, now)
        return sum_work([own, *peers, *self._home_totals.list_work(target, now)])

    def count_own_requests(self, target: str) -> int:
        """Return how many requests this host has under way at a target."""
        return self._own.get(target, NO_WORK).n_requests

    def count_recent(self, target: str) -> int:
        """Return the known number of prompts sent to a target in the last second."""
        now = self._timer.now()
        counts = self._recent_sends.count_by_host(target, now)
        own = counts[self._board.host]
        # This host may itself be the home, or have just replaced one.
        peers = max(counts.total() - own, self._home_totals.count_recent(target, now))
        return own + peers

    async def query_homes(
        self, targets: Sequence[str], prompt: Sequence[PromptPart]
    ) -> dict[str, int]:
        """Query the homes of some targets for the peers' work, in a large fleet.

        Return how many tokens of a prompt each target has cached, by incarnation.
        """
        if not self.is_fleet_large():
            return {}
        calls = [
            self._query_home(home, group, prompt)
            for home, group in self._group_by_home(targets).items()
            if home != self._board.host
        ]
        cached_tokens: dict[str, int] = {}
        for answer in await asyncio.gather(*calls):
            cached_tokens.update(answer)
        return cached_tokens

    async def _query_home(
        self, home: str, targets: list[str], prompt: Sequence[PromptPart]
    ) -> dict[str, int]:
        peer = self._board.peers.get(home)
        if peer is None:
            return {}
        message = WorkQuery(
            host=self._board.host, targets=tuple(targets), prompt=tuple(prompt)
        )
        try:
            link = self._links.get_link(peer.peer_url)
            reply = await link.call(message, timeout_s=self._get_query_timeout())
        except PeerUnavailableError:
            # The choice is based on this host's own work, as if the peers had none.
            return {}
        if not isinstance(reply, WorkTotals):
            return {}
        now = self._timer.now()
        self._home_totals.receive_totals(reply.work, reply.recent, now)
        self._prefill_speeds.receive_totals(home, reply.readings, now)
        return reply.kept

    def _get_query_timeout(self) -> float:
        trip_s = self._board.round_trips.estimate_call_s(self._timer.now())
        wanted_s = max(QUERY_TIMEOUT_S, QUERY_TIMEOUT_ROUND_TRIPS * trip_s)
        return min(wanted_s, MAX_QUERY_TIMEOUT_S)

    async def _answer_query(self, message: WorkQuery) -> WorkTotals:
        now = self._timer.now()
        work = {
            target: self._sum_work_except(target, now, message.host)
            for target in message.targets
        }
        cached_tokens = {
            target: self._caches.count_cached(target, message.prompt)
            for target in message.targets
        }
        totals = {
            target: self._prefill_speeds.get_totals(
                target, now, except_host=message.host
            )
            for target in message.targets
        }
        recent = {
            target: self._count_recent_except(target, now, message.host)
            for target in message.targets
        }
        return WorkTotals(work=work, kept=cached_tokens, readings=totals, recent=recent)

    def _count_recent_except(self, target: str, now: float, except_host: str) -> int:
        counts = self._recent_sends.count_by_host(target, now)
        return counts.total() - counts[except_host]

    def _sum_work_except(self, target: str, now: float, except_host: str) -> Work:
        own = self._own.get(target, NO_WORK)
        return sum_work(
            [own, *self._peer_work.list_work(target, now, except_host=except_host)]
        )

    def is_fleet_large(self) -> bool:
        """Return whether the fleet is large, so that each target has a home."""
        return self._board.is_too_large_to_broadcast()

    def _group_by_home(self, targets: Iterable[str]) -> dict[str, list[str]]:
        live = self._board.list_live_hosts(self._timer.now(), MAX_HOME_SILENCE_S)
        groups: dict[str, list[str]] = defaultdict(list)
        for target in targets:
            ranked = rank_by_rendezvous_cached(target, live)
            if ranked:
                groups[ranked[0]].append(target)
        return groups

    async def _report_soon(self) -> None:
        await asyncio.sleep(COALESCE_DELAY_S)
        self._is_report_scheduled = False
        await self._report()

    async def _report(self) -> None:
        now = self._timer.now()
        self._remove_expired(now)
        totals = self._prefill_speeds.pop_changed(now)
        changed = self._find_changed(now)
        prompts, self._unreported_prompts = self._unreported_prompts, []
        changed.update(prompt.target for prompt in prompts)
        changed.update(totals)
        if not changed:
            return
        self._reported = dict(self._own)
        self._record_reported(changed, now)
        for host, work in self._select_recipients(changed).items():
            peer = self._board.peers.get(host)
            if peer is not None and peer.serving and not peer.failed:
                report = WorkReport(
                    host=self._board.host,
                    work=work,
                    readings=self._select_totals(totals, work),
                    prompts=self._select_prompts(prompts, work),
                )
                self.add_future(self._send_report(peer.peer_url, report))

    def _find_changed(self, now: float) -> set[str]:
        """Return the targets whose work changed or whose last report expires soon."""
        return {
            target
            for target in self._own.keys() | self._reported.keys()
            if self._own.get(target) != self._reported.get(target)
            or now - self._reported_at.get(target, -math.inf) >= REPEAT_INTERVAL_S
        }

    def _record_reported(self, changed: set[str], now: float) -> None:
        reported = changed if self.is_fleet_large() else self._reported.keys()
        self._reported_at.update(dict.fromkeys(reported, now))
        self._reported_at = {
            target: reported_at
            for target, reported_at in self._reported_at.items()
            if target in self._reported
        }

    def _remove_expired(self, now: float) -> None:
        listed = self._board.targets.list_incarnations()
        self._caches.keep_only(listed)
        self._board.targets.proofs.keep_only(listed)
        self._prefill_speeds.keep_only(listed)
        self._peer_work.remove_expired(now)
        self._home_totals.remove_expired(now)
        self._recent_sends.remove_expired(now)

    def _select_totals(
        self, totals: dict[str, PrefillTotals], work: Mapping[str, Work]
    ) -> dict[str, PrefillTotals]:
        if not self.is_fleet_large():
            return totals
        return {target: item for target, item in totals.items() if target in work}

    def _select_prompts(
        self, prompts: list[CachedPrompt], work: Mapping[str, Work]
    ) -> tuple[CachedPrompt, ...]:
        if not self.is_fleet_large():
            return tuple(prompts)
        return tuple(prompt for prompt in prompts if prompt.target in work)

    def _select_recipients(self, changed: set[str]) -> dict[str, dict[str, Work]]:
        """Return the work to report to each host: all, or at the targets of a home."""
        if not self.is_fleet_large():
            return dict.fromkeys(self._board.peers, self._reported)
        homes = self._group_by_home(self._reported.keys() | changed)
        return {
            home: {target: self._reported.get(target, NO_WORK) for target in group}
            for home, group in homes.items()
            if not changed.isdisjoint(group)
        }

    async def _send_report(self, url: str, report: WorkReport) -> None:
        try:
            await self._links.get_link(url).send(report, timeout_s=REPORT_TIMEOUT_S)
        except PeerUnavailableError:
            # A lost report only makes choices worse, and heartbeats show whether the
            # peer is lost.
            return

    async def _receive_report(self, report: WorkReport) -> None:
        now = self._timer.now()
        self._peer_work.receive_report(report.host, report.work, now)
        self._add_sent_prompts(report.host, report.prompts)
        self._prefill_speeds.receive_totals(report.host, report.readings, now)

    def _add_sent_prompts(self, host: str, prompts: Iterable[CachedPrompt]) -> None:
        now = self._timer.now()
        for prompt in prompts:
            target = prompt.target
            added_at = now if self._may_fetch_at(target) else None
            self._caches.add(target, prompt.kv_tokens, prompt.parts, added_at)
            self._recent_sends.add(target, host, now)

    def _may_fetch_at(self, incarnation: str) -> bool:
        """Return whether fetches of KV cache are active at a target.

        Only fetches need the times at which parts were sent to a target.
        """
        entry = self._board.targets.find_incarnation(incarnation)
        configuration = self._board.configuration
        if entry is None or configuration is None:
            return False
        service = configuration.services.get(entry.service)
        cost = get_transfer_cost(service.engine if service else None)
        return cost is not None and cost.is_low(self.mean_prefill_speed)
