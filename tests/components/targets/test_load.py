"""Test the correction of late load reports."""

import unittest

from trefoilstage.components.targets.load import MAX_REPORT_AGE_S, TargetLoad


class TargetLoadTest(unittest.TestCase):
    """Report a load that includes this host's own requests."""

    def test_a_late_report_is_corrected_by_what_was_sent_since(self) -> None:
        load = TargetLoad()
        load.note_active(0.0, 1)
        load.note_active(0.1, 1)
        load.note_active(0.9, 1)
        load.note_report(1.0, running=5, lag_s=0.5)
        self.assertEqual(load.others, 3)
        self.assertEqual(load.estimate(1.0), 6)
        load.note_active(1.1, -1)
        load.note_report(1.2, running=5, lag_s=0.15)
        self.assertEqual(load.estimate(1.2), 4)

    def test_an_old_report_counts_no_more(self) -> None:
        load = TargetLoad()
        load.note_report(0.0, running=7, lag_s=0.0)
        self.assertEqual(load.estimate(MAX_REPORT_AGE_S), 7)
        self.assertEqual(load.estimate(MAX_REPORT_AGE_S + 0.1), 0)
