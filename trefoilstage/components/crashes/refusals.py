"""Decide when requests run again whose crashes overload may explain.

Under overload, harmless requests are under way at each crash as well as a request that
crashes each target. The next sends tell them apart: a harmless one soon runs
successfully, which clears it on all hosts. After `GRACE_MS`, hosts take turns and send
one such request each at most. After `MAX_TRIAL_CRASHES` further crashes, the request is
blocked.
"""

from collections import OrderedDict
from collections.abc import Callable

from trefoilstage.components.crashes.causes import (
    GRACE_MS,
    MIN_CRASHED_TARGETS,
    count_trial_crashes,
)
from trefoilstage.components.crashes.evidence import CrashEvidence
from trefoilstage.components.crashes.fingerprint import describe_parts
from trefoilstage.helpers.events import Event, log_event
from trefoilstage.helpers.verdict import Reason, Refusal
from trefoilstage.util.hashing import rank_by_rendezvous

# A crash is known to all hosts within this time of the send. The time doubles with each
# crash, as a surge that goes on may crash the targets of harmless requests.
FIRST_TURN_MS = 1_000
MIN_RETRY_S = 0.2
# Limits the memory of a host.
MAX_SUSPECTS = 4_096
MS_PER_S = 1_000


class CrashRefusals:
    """Refuse causes of crashes, and take turns with other hosts at sending suspects."""

    def __init__(
        self, *, host: str, list_live_hosts: Callable[[], tuple[str, ...]]
    ) -> None:
        self._host = host
        self._list_live_hosts = list_live_hosts
        # The request that was sent in the last turn of this host, by suspect.
        self._sent: OrderedDict[str, tuple[tuple[int, int], str]] = OrderedDict()

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
        blocked_parts = evidence.find_suspect_parts(fingerprint, parts)
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
        crashed_at = evidence.list_crash_times(fingerprint, parts)
        if now_ms <= crashed_at[MIN_CRASHED_TARGETS - 1] + GRACE_MS:
            return None
        suspected = evidence.find_suspect_parts(fingerprint, parts)
        name = describe_parts(sorted(suspected)) if suspected else fingerprint
        n_crashes = count_trial_crashes(crashed_at)
        turn_ms = FIRST_TURN_MS << n_crashes
        turn = (n_crashes, now_ms // turn_ms)
        if self._take_turn(name, turn, request_id):
            return None
        wait_ms = turn_ms - now_ms % turn_ms
        return Refusal(
            reason=Reason.OVERLOADED,
            detail="its last targets crashed",
            retry_after_s=max(MIN_RETRY_S, wait_ms / MS_PER_S),
        )

    def _take_turn(self, name: str, turn: tuple[int, int], request_id: str) -> bool:
        # The turn moves to another host each time, as only one host may have callers
        # that send the request.
        hosts = self._list_live_hosts()
        ranked = rank_by_rendezvous(f"{name}/{turn[0]}/{turn[1]}", hosts)
        if list(ranked[:1]) != [self._host]:
            return False
        last_turn, sent = self._sent.get(name, ((-1, -1), ""))
        if last_turn == turn:
            # A request is checked when it arrives and again before it is sent.
            return sent == request_id
        self._sent[name] = turn, request_id
        self._sent.move_to_end(name)
        if len(self._sent) > MAX_SUSPECTS:
            self._sent.popitem(last=False)
        log_event(
            Event.CRASH_TRIAL, suspect=name, request=request_id, n_crashes=turn[0]
        )
        return True
