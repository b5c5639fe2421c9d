"""Test what reaches targets that ask for rest, and what callers get, in emulation."""

import unittest

from bench.emulator.callers import Result
from bench.emulator.results import compute_share
from bench.emulator.scenario import Fault, FaultKind
from bench.emulator.world import DayResult, run_day
from tests.emulator.common import make_warm_day

SEED = 1
SECONDS = 12.0
REST_S = 3.0
MAX_DISTURBANCES = 2
MIN_IN_TIME = 0.9
MAX_REFUSED = 0.01
REST = Fault(
    kind=FaultKind.TARGETS_ASK_FOR_REST,
    at_s=2.0,
    for_s=8.0,
    share=0.34,
    factor=REST_S,
)


class RestsTest(unittest.TestCase):
    """Test how many requests reach targets that turned a host's request away."""

    def run_and_check(self, n_hosts: int, *faults: Fault) -> DayResult:
        """Run a day and check that no host disturbs a target's rest."""
        day = run_day(make_warm_day(n_hosts, SECONDS, *faults), SEED)
        self.assertLessEqual(max(day.disturbances.values()), MAX_DISTURBANCES)
        return day

    def test_rest_is_kept_while_other_targets_serve(self) -> None:
        """Guard against requests that come back to a target that asked for rest.

        Callers are served by the other targets.
        """
        day = self.run_and_check(3, REST)
        self.assertGreater(compute_share(day.outcomes, Result.IN_TIME), MIN_IN_TIME)

    def test_rest_is_kept_in_a_large_fleet(self) -> None:
        """Guard against queries of candidates that bring back a resting target."""
        day = self.run_and_check(40, REST)
        self.assertGreater(compute_share(day.outcomes, Result.IN_TIME), MIN_IN_TIME)

    def test_hosts_do_not_each_find_out_for_themselves(self) -> None:
        """Guard against retries used up on targets that have turned others away.

        Two thirds of the targets have room for all requests.
        """
        for n_hosts in (22, 40):
            with self.subTest(n_hosts=n_hosts):
                day = self.run_and_check(n_hosts, REST)
                refused = compute_share(day.outcomes, Result.REFUSED)
                self.assertLess(refused, MAX_REFUSED)

    def test_rest_is_kept_while_all_targets_ask_for_it(self) -> None:
        """Guard against resting targets that are used when no other is left."""
        day = self.run_and_check(3, REST.model_copy(update={"share": 1.0}))
        resting = [
            item
            for item in day.outcomes
            if REST.at_s < item.requested_at < REST.at_s + REST.for_s
        ]
        self.assertEqual(compute_share(resting, Result.FAILED), 0.0)


if __name__ == "__main__":
    unittest.main()
