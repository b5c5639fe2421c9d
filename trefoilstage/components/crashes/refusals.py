"""Decide when requests run again whose crashes overload may explain.

Under overload, harmless requests are under way at each crash as well as a request that
crashes each target. The next sends tell them apart: a harmless one soon runs
successfully, which clears it on all hosts. After `GRACE_MS`, hosts take turns, and one
such request is sent at a time. After `MAX_TRIAL_CRASHES` crashes, it is blocked.
"""

import asyncio
from collections import OrderedDict
from collections.abc import Callable, Iterable, Sequence
from typing import Protocol

from trefoilstage.components.crashes.causes import GRACE_MS
from trefoilstage.components.crashes.completed_runs import Run
from trefoilstage.components.crashes.evidence import CrashEvidence
from trefoilstage.components.crashes.fingerprint import describe_parts
from trefoilstage.helpers.events import Event, log_event
from trefoilstage.helpers.verdict import Reason, Refusal
from trefoilstage.util.hashing import rank_by_rendezvous

# A crash is known to all hosts within this time of the send. The time doubles with each
# crash, as a surge that goes on may crash the targets of harmless requests.
FIRST_TURN_MS = 1_000
# A claim reaches the other hosts within this time.
CLAIM_MS = 150
MIN_RETRY_S = 0.2
# A short answer takes 0.1 s, and its target is checked 0.3 s later.
TRIAL_WAIT_S = 1.0
POLL_INTERVAL_S = 0.05
# Limits the memory of a host.
MAX_SUSPECTS = 4_096
MS_PER_S = 1_000


async def wait_for_trial(
    get_refusal: Callable[[], Refusal | None], caller_waits_until: float
) -> Refusal | None:
    """Return a refusal, or None as soon as a request may be sent.

    A request waits while another one shows whether its targets crash, as most trials
    of harmless requests succeed within `TRIAL_WAIT_S`.
    """
    loop = asyncio.get_running_loop()
    gives_up_at = min(loop.time() + TRIAL_WAIT_S, caller_waits_until)
    while True:
        refusal = get_refusal()
        is_waiting = refusal is not None and refusal.reason is Reason.OVERLOADED
        if not is_waiting or loop.time() >= gives_up_at:
            return refusal
        await asyncio.sleep(POLL_INTERVAL_S)


class TrialClaims(Protocol):
    """Tell other hosts which suspects this host sends."""

    def are_shared(self) -> bool:
        """Return whether all other hosts receive a claim at once."""

    def share_trials(self, names: Sequence[str]) -> None:
        """Tell the other hosts that this host sends a request with some suspects."""


class CrashRefusals:
    """Refuse causes of crashes, and take turns with other hosts at sending suspects."""

    def __init__(
        self,
        *,
        host: str,
        list_live_hosts: Callable[[], tuple[str, ...]],
        claims: TrialClaims,
    ) -> None:
        self._host = host
        self._list_live_hosts = list_live_hosts
        self._claims = claims
        # When a suspect was last sent, and by which request if by this host.
        self._sent: OrderedDict[str, tuple[int, str]] = OrderedDict()

    def get_refusal(
        self,
        evidence: CrashEvidence,
        fingerprint: str,
        parts: frozenset[str],
        request_id: str,
        now: float,
    ) -> Refusal | None:
        """Return a refusal for a suspect, None if it may be sent now."""
        if not evidence.is_blocked(fingerprint, parts):
            return self._refuse_in_turn(evidence, fingerprint, parts, request_id, now)
        blocked_parts = evidence.find_blocked_parts(fingerprint, parts)
        return Refusal(
            reason=Reason.CRASHES_TARGETS,
            detail=describe_parts(sorted(blocked_parts or ())),
            retry_after_s=evidence.compute_wait_s(fingerprint, parts, now),
        )

    def _refuse_in_turn(
        self,
        evidence: CrashEvidence,
        fingerprint: str,
        parts: frozenset[str],
        request_id: str,
        now: float,
    ) -> Refusal | None:
        now_ms = int((now + evidence.unix_offset_s) * MS_PER_S)
        suspects = [
            item
            for item in evidence.list_weak(fingerprint, parts)
            if now_ms > item.suspect_since_ms + GRACE_MS
        ]
        if not suspects:
            return None
        n_crashes = max(item.n_trial_crashes for item in suspects)
        turn_ms = FIRST_TURN_MS << n_crashes
        names = [item.name for item in suspects]
        if self._take_turn(names, now_ms, turn_ms, request_id):
            return None
        wait_ms = turn_ms - now_ms % turn_ms
        return Refusal(
            reason=Reason.OVERLOADED,
            detail="its last targets crashed",
            retry_after_s=max(MIN_RETRY_S, wait_ms / MS_PER_S),
        )

    def list_trials(self, runs: Iterable[Run]) -> frozenset[str]:
        """Return the fingerprints of runs that this host sent as trials."""
        sent = {request_id for _, request_id in self._sent.values()} - {""}
        return frozenset(run.fingerprint for run in runs if run.request_id in sent)

    def receive_claims(self, names: Iterable[str], now_ms: int) -> None:
        """Record that another host sends suspects."""
        for name in names:
            self._set_sent(name, now_ms, "")

    def _take_turn(
        self, names: Sequence[str], now_ms: int, turn_ms: int, request_id: str
    ) -> bool:
        turn, passed_ms = divmod(now_ms, turn_ms)
        sent = [self._sent.get(name, (0, "")) for name in names]
        sent_in_turn = {other for at_ms, other in sent if at_ms >= now_ms - passed_ms}
        if sent_in_turn:
            # A request is checked when it arrives and again before it is sent.
            return bool(request_id) and sent_in_turn == {request_id}
        # Hosts come first in another order in each turn, as only some may have callers
        # that send the request.
        ranked = rank_by_rendezvous(f"{names[0]}/{turn}", self._list_live_hosts())
        place = list(ranked).index(self._host) if self._host in ranked else len(ranked)
        if place and (not self._claims.are_shared() or passed_ms < place * CLAIM_MS):
            return False
        for name in names:
            self._set_sent(name, now_ms, request_id)
        self._claims.share_trials(names)
        log_event(Event.CRASH_TRIAL, suspects=describe_parts(names))
        return True

    def _set_sent(self, name: str, now_ms: int, request_id: str) -> None:
        self._sent[name] = now_ms, request_id
        self._sent.move_to_end(name)
        if len(self._sent) > MAX_SUSPECTS:
            self._sent.popitem(last=False)
