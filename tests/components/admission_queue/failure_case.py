"""Run the hosts of a contended service, for tests of failures."""

import unittest
from collections.abc import Awaitable, Callable
from unittest import mock

from bench.emulator.clock import run_in_virtual_time
from tests.components.admission_queue.fleet import (
    N_SLOTS,
    AdmissionFleet,
)
from trefoilstage.components.admission_queue.capacity import PLACES_PER_SLOT
from trefoilstage.components.admission_queue.own_work import (
    Place,
)
from trefoilstage.components.admission_queue.service_queue import ServiceQueue
from trefoilstage.helpers.verdict import Effect, Reason, Refusal

FLEET_SIZES = (3, 400)
N_ASKING = 12


class FailureCase(unittest.TestCase):
    """Run hosts whose parts fail."""

    has_engines = True  # otherwise plain targets, with more places

    @property
    def n_places(self) -> int:
        """Return the number of places of all targets."""
        return N_SLOTS if self.has_engines else PLACES_PER_SLOT * N_SLOTS

    def setUp(self) -> None:
        """Let requests wait, although no place was freed for long."""
        estimate = mock.patch.object(ServiceQueue, "_estimate_wait_s", return_value=0.0)
        estimate.start()
        self.addCleanup(estimate.stop)

    def run_with(
        self,
        n_hosts: int,
        check: Callable[[AdmissionFleet], Awaitable[None]],
    ) -> None:
        """Run a check on a started fleet, with all places in use and known to be."""

        async def main() -> None:
            fleet = AdmissionFleet(n_hosts, has_engines=self.has_engines)
            await fleet.start()
            self.sent = await fleet.fill(fleet.list_others()[:N_ASKING])
            await check(fleet)

        with self.subTest(n_hosts=n_hosts):
            run_in_virtual_time(main())

    def end_sent(self, n: int | None = None) -> None:
        """End some of the requests that fill the places, or all of them."""
        for sent in self.sent[:n]:
            sent.close()
        del self.sent[:n]

    def check_answers(self, answers: list[Place | Refusal | None]) -> None:
        """Check that each caller got a place, or a refusal that may be retried."""
        for answer in answers:
            if isinstance(answer, Refusal):
                self.assertIs(answer.reason, Reason.OVERLOADED)
                self.assertIs(answer.effect, Effect.NOT_RUN)
                self.assertGreaterEqual(answer.retry_after_s or 0.0, 0.2)
            else:
                self.assertIsInstance(answer, Place)
