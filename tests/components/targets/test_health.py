"""Test ejection, probing and the retry budget."""

import unittest

from trefoilstage.components.targets.health import MAX_FAILURES, TargetHealth


class TargetHealthTest(unittest.TestCase):
    """Let a target fail."""

    def fail_requests(self, health: TargetHealth, now: float, n_times: int) -> None:
        """Send requests that fail at once."""
        for _ in range(n_times):
            health.start(retry=False)
            health.note_failure(now)

    def test_failures_in_a_row_eject_and_one_probe_brings_back(self) -> None:
        health = TargetHealth()
        self.fail_requests(health, 0.0, MAX_FAILURES)
        self.assertFalse(health.may_send(0.1, retry=False))
        later = health.count_wait(0.0) + 0.01
        self.assertTrue(health.may_send(later, retry=False))
        health.start(retry=False)
        self.assertFalse(health.may_send(later, retry=False), "a second probe")
        health.note_answer()
        self.assertTrue(health.may_send(later, retry=False))

    def test_silent_target_is_left_at_once(self) -> None:
        """Get no answer to one connection; the next caller goes elsewhere.

        Three callers of each host waited 0.4 s for a target that had gone dark.
        """
        health = TargetHealth()
        health.start(retry=False)
        self.assertTrue(health.note_silence(1.0))
        self.assertFalse(health.may_send(1.1, retry=False))
        health.start(retry=False)
        health.note_answer()
        self.assertTrue(health.may_send(1.2, retry=False))

    def test_a_failed_probe_doubles_the_pause(self) -> None:
        health = TargetHealth()
        self.fail_requests(health, 0.0, MAX_FAILURES)
        first = health.count_wait(0.0)
        self.fail_requests(health, first, 1)
        self.assertEqual(health.count_wait(first), 2 * first)

    def test_late_failures_do_not_prolong_an_ejection(self) -> None:
        health = TargetHealth()
        self.fail_requests(health, 0.0, MAX_FAILURES)
        before = health.ejected_until
        health.note_failure(0.2)
        self.assertEqual(health.ejected_until, before)

    def test_retries_never_exceed_a_tenth_of_the_tries_for_long(self) -> None:
        health = TargetHealth()
        n_retries = 0
        for _ in range(1_000):
            health.start(retry=False)
            if health.may_send(0.0, retry=True):
                health.start(retry=True)
                n_retries += 1
        self.assertLessEqual(n_retries, 110)
        self.assertGreaterEqual(n_retries, 100)
