"""Test ejection, probing and the retry credit."""

import unittest

from trefoilstage.components.targets.health import MAX_FAILURES, TargetHealth


class TargetHealthTest(unittest.TestCase):
    """Test the health of a target that fails."""

    def fail_requests(self, health: TargetHealth, now: float, n_times: int) -> None:
        """Record requests that fail immediately."""
        for _ in range(n_times):
            health.record_send(retry=False)
            health.record_failure(now)

    def test_consecutive_failures_eject_and_one_probe_restores(self) -> None:
        health = TargetHealth()
        self.fail_requests(health, 0.0, MAX_FAILURES)
        self.assertFalse(health.may_send(0.1, retry=False))
        later = health.compute_wait_s(0.0) + 0.01
        self.assertTrue(health.may_send(later, retry=False))
        health.record_send(retry=False)
        self.assertFalse(health.may_send(later, retry=False), "a second probe")
        health.record_success()
        self.assertTrue(health.may_send(later, retry=False))

    def test_connect_timeout_ejects_immediately(self) -> None:
        """Guard against further callers that wait for an unreachable target.

        Three callers of each host waited 0.4 s before the target was ejected.
        """
        health = TargetHealth()
        health.record_send(retry=False)
        self.assertTrue(health.record_connect_timeout(1.0))
        self.assertFalse(health.may_send(1.1, retry=False))
        health.record_send(retry=False)
        health.record_success()
        self.assertTrue(health.may_send(1.2, retry=False))

    def test_rest_is_kept_whatever_happens_meanwhile(self) -> None:
        """Guard against a rest that an answer, a refusal or a failure ends."""
        health = TargetHealth()
        health.record_rest(3.0, now=0.0)
        health.record_rest(1.0, now=0.5)
        health.record_busy(1.0)
        health.record_success()
        self.assertFalse(health.may_send(2.9, retry=False))
        self.assertAlmostEqual(health.compute_wait_s(2.0), 1.0)
        self.assertTrue(health.may_send(3.0, retry=False))

    def test_failed_probe_doubles_the_ejection(self) -> None:
        health = TargetHealth()
        self.fail_requests(health, 0.0, MAX_FAILURES)
        first = health.compute_wait_s(0.0)
        self.fail_requests(health, first, 1)
        self.assertEqual(health.compute_wait_s(first), 2 * first)

    def test_failures_of_earlier_requests_do_not_prolong_an_ejection(self) -> None:
        health = TargetHealth()
        self.fail_requests(health, 0.0, MAX_FAILURES)
        before = health.ejected_until
        health.record_failure(0.2)
        self.assertEqual(health.ejected_until, before)

    def test_retries_are_limited_to_a_tenth_of_first_attempts(self) -> None:
        health = TargetHealth()
        n_retries = 0
        for _ in range(1_000):
            health.record_send(retry=False)
            if health.may_send(0.0, retry=True):
                health.record_send(retry=True)
                n_retries += 1
        self.assertLessEqual(n_retries, 110)
        self.assertGreaterEqual(n_retries, 100)
