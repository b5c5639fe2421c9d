"""Test what callers get of full targets, with the admission queue and without."""

import unittest
from collections.abc import Iterable, Sequence
from typing import Any
from unittest import mock

from bench.emulator.callers import Outcome, Result
from bench.emulator.network import EmulatedLink
from bench.emulator.results import compute_share
from bench.emulator.scenario import Fault, FaultKind, Scenario, load_scenario
from bench.emulator.world import WARM_UP_S, DayResult, run_day
from trefoilstage.components.admission_queue.messages import (
    AdmissionReport,
    PlaceRequest,
    ReturnPlaces,
)
from trefoilstage.helpers.verdict import Reason

SEED = 1
SECONDS = 12.0
N_TARGETS = 3
SLOTS = 6
CALL_S = 0.09
USUAL_LOAD = 0.45  # of the capacity of all slots
BURST_LOAD = 1.7
USUAL_PER_S = USUAL_LOAD * N_TARGETS * SLOTS / CALL_S
BURST_AT_S = 4.0
BURST_S = 6.0
HOT_FACTOR = 8.0
HOT_WORKSPACE = "ws-0"
BURST = Fault(
    kind=FaultKind.BURST, at_s=BURST_AT_S, for_s=BURST_S, factor=BURST_LOAD / USUAL_LOAD
)
HOT = Fault(
    kind=FaultKind.HOT_WORKSPACE, at_s=BURST_AT_S, for_s=BURST_S, factor=HOT_FACTOR
)
# Hosts learn that a service is contended when they report.
LEARNING_S = 1.0
SETTLED_S = 0.5  # after a burst, the last waiting requests have got their places
MIN_OTHERS_IN_TIME = 0.95
MIN_GAIN = 3.0
SLOW_ONE_WAY_S = 0.01  # between busy hosts of half a core
MIN_SLOT_USE = 0.9
OWN_MESSAGES = (AdmissionReport, PlaceRequest, ReturnPlaces)


def make_day(n_hosts: int, *faults: Fault, has_queue: bool) -> Scenario:
    """Return a day with plain calls to three small targets."""
    scenario = load_scenario("cold-engines")
    kind = next(item for item in scenario.kinds if item.name == "lookup")
    calls = kind.model_copy(update={"per_s": USUAL_PER_S, "deadline_s": 0.8})
    services = {"n": N_TARGETS, "slots": SLOTS, "work_s": CALL_S}
    changes = {
        "n_hosts": n_hosts,
        "duration_s": SECONDS,
        "n_workspaces": 6,
        "kinds": (calls,),
        # Entries in the store have the slots of engines.
        "engines": scenario.engines.model_copy(update={"n": 1, "slots": SLOTS}),
        "services": scenario.services.model_copy(update=services),
        "faults": faults,
        "has_admission_queue": has_queue,
    }
    return scenario.model_copy(update=changes)


def run_recorded(scenario: Scenario) -> tuple[DayResult, list[Any]]:
    """Run a day and return it with all messages between its hosts."""
    messages: list[Any] = []
    deliver = EmulatedLink._deliver

    async def record(self: EmulatedLink, message: Any) -> Any:
        messages.append(message)
        return await deliver(self, message)

    with mock.patch.object(EmulatedLink, "_deliver", record):
        return run_day(scenario, SEED), messages


def select_burst(outcomes: Iterable[Outcome]) -> list[Outcome]:
    """Return the requests of the burst, after hosts had time to learn of it."""
    begin = WARM_UP_S + BURST_AT_S + LEARNING_S
    end = WARM_UP_S + BURST_AT_S + BURST_S
    return [item for item in outcomes if begin <= item.requested_at < end]


def select_others(outcomes: Sequence[Outcome]) -> list[Outcome]:
    """Return the requests of all workspaces with their usual load."""
    return [item for item in outcomes if item.workspace != HOT_WORKSPACE]


def count_served(outcomes: Iterable[Outcome]) -> int:
    """Return the number of requests that were served, in time or late."""
    return sum(item.result in (Result.IN_TIME, Result.LATE) for item in outcomes)


class AdmissionQueueTest(unittest.TestCase):
    """Bring more calls than three small targets serve, most of one workspace."""

    def check_gain(self, n_hosts: int) -> None:
        """Check what callers get with the queue against what they get without."""
        without = run_day(make_day(n_hosts, BURST, HOT, has_queue=False), SEED)
        with_queue = run_day(make_day(n_hosts, BURST, HOT, has_queue=True), SEED)
        before, after = map(select_burst, (without.outcomes, with_queue.outcomes))
        in_time = compute_share(after, Result.IN_TIME)
        self.assertGreater(in_time, MIN_GAIN * compute_share(before, Result.IN_TIME))
        others = compute_share(select_others(after), Result.IN_TIME)
        self.assertGreater(others, MIN_OTHERS_IN_TIME)
        self.assertGreater(others, compute_share(select_others(before), Result.IN_TIME))
        failed = compute_share(after, Result.FAILED)
        self.assertLess(failed, compute_share(before, Result.FAILED) / MIN_GAIN)

    def test_hot_workspace_waits_for_itself_only(self) -> None:
        """Guard against one workspace that takes the time of all others."""
        for n_hosts in (3, 67):
            with self.subTest(n_hosts=n_hosts):
                self.check_gain(n_hosts)

    def test_slots_are_not_idle_while_places_are_granted(self) -> None:
        """Guard against fewer served calls than the targets' own queues give."""
        capacity = N_TARGETS * SLOTS / CALL_S * (BURST_S - LEARNING_S)
        for n_hosts in (3, 67):
            with (
                self.subTest(n_hosts=n_hosts),
                mock.patch("bench.emulator.network.ONE_WAY_S", SLOW_ONE_WAY_S),
            ):
                days = [
                    run_day(make_day(n_hosts, BURST, HOT, has_queue=has_queue), SEED)
                    for has_queue in (False, True)
                ]
                before, after = (select_burst(day.outcomes) for day in days)
                self.assertGreaterEqual(count_served(after), count_served(before))
                self.assertGreater(count_served(after), MIN_SLOT_USE * capacity)
                others = compute_share(select_others(after), Result.IN_TIME)
                self.assertGreater(others, MIN_OTHERS_IN_TIME)

    def test_refusals_of_the_queue_may_be_retried(self) -> None:
        """Guard against callers that lose requests which no target has run."""
        day = run_day(make_day(7, BURST, HOT, has_queue=True), SEED)
        refused = [item for item in day.outcomes if item.result is Result.REFUSED]
        self.assertTrue(refused)
        self.assertEqual({item.reason for item in refused}, {Reason.OVERLOADED})
        self.assertEqual({item.n_attempts for item in refused}, {2})

    def test_calls_wait_for_no_message_while_targets_have_room(self) -> None:
        """Guard against a round trip before each call to targets with free slots."""
        calm = make_day(7, has_queue=True)
        kinds = (calm.kinds[0].model_copy(update={"per_s": USUAL_PER_S / 3}),)
        day, messages = run_recorded(calm.model_copy(update={"kinds": kinds}))
        self.assertFalse([m for m in messages if isinstance(m, PlaceRequest)])
        self.assertGreater(compute_share(day.outcomes, Result.IN_TIME), 0.99)

    def test_no_message_is_sent_without_the_setting(self) -> None:
        """Guard against messages that hosts of the previous build can't read."""
        day, messages = run_recorded(make_day(7, BURST, HOT, has_queue=False))
        self.assertTrue(day.outcomes)
        self.assertFalse([m for m in messages if isinstance(m, OWN_MESSAGES)])

    def test_callers_are_served_after_hosts_were_killed(self) -> None:
        """Guard against a queue that stays lost with its home."""
        killed = Fault(kind=FaultKind.HOSTS_KILLED, at_s=6.0, for_s=1.0, share=0.5)
        for n_hosts in (3, 7):
            with self.subTest(n_hosts=n_hosts):
                day = make_day(n_hosts, BURST, HOT, killed, has_queue=True)
                ended = [
                    item
                    for item in run_day(day, SEED).outcomes
                    if item.requested_at > WARM_UP_S + BURST_AT_S + BURST_S + SETTLED_S
                ]
                in_time = compute_share(ended, Result.IN_TIME)
                self.assertGreater(in_time, MIN_OTHERS_IN_TIME)


if __name__ == "__main__":
    unittest.main()
