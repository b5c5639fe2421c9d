"""Test the history of a request over all hosts, and the metrics page."""

import unittest

from trefoilstage.helpers.metrics_page import MetricsPage
from trefoilstage.helpers.request_history import find_request_history, parse_log_line

LINES = """
timestamp=1.0 message_type=config_in_force version=3
timestamp=2.0 message_type=config_in_force version=4
timestamp=3.0 message_type=target_ejected target=i-1
timestamp=3.5 message_type=escrow_drawn tokens=100 workspace=brest
timestamp=4.0 message_type=request_sent request=a1 target=i-1 workspace=brest
timestamp=4.1 message_type=request_sent request=b2 target=i-1 workspace=lorient
timestamp=4.5 message_type=request_refused detail="reset by peer" request=a1
timestamp=5.0 message_type=config_in_force version=5
not a log line of this program
"""


class RequestHistoryTest(unittest.TestCase):
    """Test which log lines belong to the history of a request."""

    def test_history_includes_the_state_at_arrival(self) -> None:
        lines = [
            line
            for text in LINES.splitlines()
            if (line := parse_log_line(text, "host-1"))
        ]
        home_line = (
            "timestamp=4.2 message_type=hold_refused request=a1/host-1/0/0 free=0"
        )
        home_host_line = parse_log_line(home_line, "host-2")
        assert home_host_line is not None
        history = find_request_history([*lines, home_host_line], "a1")
        event_names = [line.event_name for line in history.lines]
        self.assertEqual(
            event_names, ["request_sent", "hold_refused", "request_refused"]
        )
        self.assertEqual(history.lines[2].fields["detail"], "reset by peer")
        host_states = [line.describe() for line in history.host_states]
        self.assertEqual(
            host_states,
            [
                "2.000 host-1 config_in_force version=4",
                "3.000 host-1 target_ejected target=i-1",
            ],
        )
        self.assertEqual(len(history.account_changes), 1)

    def test_unknown_request_has_no_history(self) -> None:
        self.assertEqual(find_request_history([], "a1").lines, ())


class MetricsPageTest(unittest.TestCase):
    """Test the metrics in the Prometheus text format."""

    def test_page_shows_counts_durations_and_gauges(self) -> None:
        page = MetricsPage()
        page.add_gauge("peers_known", "Other hosts known.", lambda: 6)
        message = {"message_type": "request_done", "duration_s": 0.3, "hold_s": 0.001}
        page(message)
        page({"message_type": "hold_refused", "reason": "budget_drawn"})
        page({"message_type": "request_sent", "fetched": 5_382})
        page({"message_type": "request_sent"})
        text = page.render().decode()
        for line in (
            "trefoilstage_prefix_fetches_total 1.0",
            "trefoilstage_prefix_fetched_tokens_total 5382.0",
            'trefoilstage_events_total{event="hold_refused",reason="budget_drawn"} 1.0',
            'trefoilstage_request_seconds_bucket{le="0.4",phase="whole"} 1.0',
            'trefoilstage_request_seconds_bucket{le="0.2",phase="whole"} 0.0',
            "trefoilstage_peers_known 6.0",
        ):
            self.assertIn(line, text)


if __name__ == "__main__":
    unittest.main()
