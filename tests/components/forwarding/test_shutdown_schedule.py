"""Test which requests a host accepts while it shuts down."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from trefoilstage.components.forwarding.shutdown_schedule import (
    MAX_LATE_SHARE,
    ShutdownSchedule,
)
from trefoilstage.util.loop_turns import LoopTurns

GRACE_S = 8.0
GRACE_TIMES_S = st.floats(0.5, 60.0)


class ShutdownScheduleTest(unittest.TestCase):
    """Test decisions at every moment of a grace time."""

    def accepts(self, at_s: float, time_limit_s: float, **kind: bool) -> bool:
        """Return whether a request is accepted some time after the signal."""
        schedule = ShutdownSchedule(started_at=100.0, grace_s=GRACE_S)
        return schedule.accepts(
            is_stream=kind.get("is_stream", False),
            deadline=100.0 + at_s + time_limit_s,
            now=100.0 + at_s,
        )

    def test_late_call_with_a_long_time_limit_is_refused(self) -> None:
        """Guard against calls that are cut off as the host ends."""
        self.assertFalse(self.accepts(6.2, 4.0))
        self.assertFalse(self.accepts(3.1, 4.0))

    def test_late_call_with_a_short_time_limit_is_accepted(self) -> None:
        """Guard against a host that refuses all calls while the balancer uses it."""
        self.assertTrue(self.accepts(3.1, 0.6))
        self.assertTrue(self.accepts(6.1, 0.6))

    def test_requests_are_accepted_until_the_balancer_has_removed_the_host(
        self,
    ) -> None:
        """Guard against refusals in the seconds that the load balancer needs."""
        self.assertTrue(self.accepts(2.9, 15.0))
        self.assertTrue(self.accepts(2.9, 15.0, is_stream=True))

    def test_late_streams_are_refused(self) -> None:
        """Guard against a host that stays for its streams and is not replaced."""
        self.assertFalse(self.accepts(3.1, 0.6, is_stream=True))

    def test_time_to_accept_all_counts_from_the_signal(self) -> None:
        """Guard against streams begun too late, as a stalled loop saw no signal."""
        turns = LoopTurns()
        for now in (99.4, 99.5, 99.99):  # the last is after a stall
            turns.record(now)
        schedule = ShutdownSchedule(
            started_at=100.0,
            grace_s=GRACE_S,
            signal_after=turns.get_time_before_signal(100.0),
        )
        for now, accepted in ((102.49, True), (102.51, False)):
            self.assertIs(
                schedule.accepts(is_stream=True, deadline=now + 15.0, now=now), accepted
            )

    @given(GRACE_TIMES_S, st.floats(0.0, 2.0))
    def test_each_part_of_the_end_has_time_before_the_kill(
        self, grace_s: float, late_share: float
    ) -> None:
        """Guard against SIGKILL amid the end, also if the signal was handled late."""
        schedule = make_late_schedule(grace_s, late_share)
        ends = [schedule.requests_end_at, schedule.leave_until, schedule.exit_at]
        late_s = min(late_share, MAX_LATE_SHARE) * schedule.reserve_s
        for end, next_end in zip(ends, [*ends[1:], grace_s - late_s], strict=True):
            self.assertLess(end, next_end)

    @given(GRACE_TIMES_S, st.floats(0.0, 2.0))
    def test_requests_are_ended_in_the_last_sixth_only(
        self, grace_s: float, late_share: float
    ) -> None:
        """Guard against requests that are cut off early in a short grace time.

        A signal that is handled late may have come just before.
        """
        schedule = make_late_schedule(grace_s, late_share)
        self.assertGreaterEqual(schedule.requests_end_at, grace_s * 5 / 6 - 1e-9)
        self.assertLess(schedule.requests_end_at, grace_s)
        self.assertLess(schedule.accepts_all_until, schedule.requests_end_at)


def make_late_schedule(grace_s: float, late_share: float) -> ShutdownSchedule:
    """Return a schedule that starts at 0, up to a share of its reserve too late."""
    reserve_s = ShutdownSchedule(started_at=0.0, grace_s=grace_s).reserve_s
    return ShutdownSchedule(
        started_at=0.0, grace_s=grace_s, signal_after=-late_share * reserve_s
    )


if __name__ == "__main__":
    unittest.main()
