"""Test what callers get in an outage of the store, on emulated days."""

import unittest

from bench.emulator.callers import Result
from bench.emulator.results import compute_share
from bench.emulator.scenario import Fault, FaultKind, load_scenario
from bench.emulator.world import run_day

SEED = 1
SHORT_KINDS = ("question", "triage")
# The stock of a full budget covers the short requests of an outage several times over.
MIN_SHORT_IN_TIME = 0.8


class OutageTest(unittest.TestCase):
    """Cut all hosts from the store for 8 s, with budgets of 1.3 times the demand."""

    def test_short_requests_are_served_and_long_ones_come_back(self) -> None:
        """Guard against drafts of 12,000 tokens that use up the stock of an outage."""
        outage = Fault(kind=FaultKind.STORE_CUT, at_s=7.0, for_s=8.0)
        scenario = load_scenario("mixed-prompts").model_copy(
            update={
                "duration_s": 16.0,
                "budget_factor": 1.3,
                "n_hosts": 14,
                "faults": (outage,),
            }
        )
        day = run_day(scenario, SEED)
        for kind in SHORT_KINDS:
            outcomes = [item for item in day.outcomes if item.kind == kind]
            self.assertGreater(
                compute_share(outcomes, Result.IN_TIME), MIN_SHORT_IN_TIME, kind
            )
        drafts = [item for item in day.outcomes if item.kind == "draft"]
        self.assertLess(compute_share(drafts, Result.REFUSED), 0.1)


if __name__ == "__main__":
    unittest.main()
