"""Test the correction of delayed load reports."""

import unittest

from trefoilstage.components.targets.load import MAX_REPORT_AGE_S, TargetLoad


class TargetLoadTest(unittest.TestCase):
    """Test estimates from reports that include this host's own requests."""

    def test_delayed_report_is_corrected_by_requests_since_then(self) -> None:
        load = TargetLoad()
        load.record_active_change(0.0, 1)
        load.record_active_change(0.1, 1)
        load.record_active_change(0.9, 1)
        load.record_report(1.0, running=5, lag_s=0.5)
        self.assertEqual(load.others, 3)
        self.assertEqual(load.estimate_running(1.0), 6)
        load.record_active_change(1.1, -1)
        load.record_report(1.2, running=5, lag_s=0.15)
        self.assertEqual(load.estimate_running(1.2), 4)

    def test_outdated_report_is_ignored(self) -> None:
        load = TargetLoad()
        load.record_report(0.0, running=7, lag_s=0.0)
        self.assertEqual(load.estimate_running(MAX_REPORT_AGE_S), 7)
        self.assertEqual(load.estimate_running(MAX_REPORT_AGE_S + 0.1), 0)
