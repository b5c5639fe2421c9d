"""Test that a stall of the process is detected with the CPU time it used."""

import unittest

from trefoilstage.util.stalls import Stall, StallDetector


class StallDetectorTest(unittest.TestCase):
    """Test late ticks."""

    def test_late_tick_reports_delay_and_cpu_time(self) -> None:
        """Delay one tick without CPU time (suspended) and one with it (busy)."""
        detector = StallDetector(interval_s=0.25)
        self.assertIsNone(detector.record_tick(10.0, 1.0))
        self.assertIsNone(detector.record_tick(10.3, 1.2))
        suspended = detector.record_tick(13.55, 1.2)
        self.assertEqual(suspended, Stall(late_s=3.0, processor_s=0.0))
        busy = detector.record_tick(14.8, 2.2)
        assert busy is not None
        self.assertAlmostEqual(busy.late_s, 1.0)
        self.assertAlmostEqual(busy.processor_s, 1.0)


if __name__ == "__main__":
    unittest.main()
