"""Test what hosts conclude from records that others passed on."""

import unittest
from unittest import mock

from tests.components.boards import make_board
from trefoilstage.components.fleet.watcher import BoardWatcher
from trefoilstage.components.forwarding.models import TargetEntry, TargetPhase
from trefoilstage.components.views.keyed_view import KeyedRecord
from trefoilstage.components.views.store import Topic
from trefoilstage.fleet_board import FleetBoard
from trefoilstage.fleet_parts import LARGE_PAUSE_S, make_followers
from trefoilstage.fleet_settings import FleetSettings

SERVICE = "model"


def decode(name: str, data: bytes) -> TargetEntry:
    """Return the entry of a target that is ready or leaves."""
    return TargetEntry(
        name=name,
        service=SERVICE,
        address="127.0.0.1:1",
        data_center="brest",
        slots=1,
        phase=TargetPhase(data.decode()),
        started_ms=1,
    )


class LapsedEntriesTest(unittest.TestCase):
    """Test the end of an outage in which all targets' entries lapsed."""

    def start(self, phase: TargetPhase) -> tuple[FleetBoard, BoardWatcher]:
        """Return a host that knows a target and is cut from the store."""
        board = make_board("host-0", ["host-1"])
        watcher = BoardWatcher(
            board=board,
            configuration_key="config",
            decode_configuration=mock.Mock(),
            decode_target=decode,
        )
        entry = KeyedRecord(key="i-1", offset=3, value=phase.value.encode())
        watcher.take(Topic.TARGETS, [entry], now=10.0)
        board.store.out_of_reach = True
        return board, watcher

    def list_ready(self, board: FleetBoard, now: float) -> list[str]:
        """Return the targets that get new work."""
        return [entry.name for entry in board.targets.list_ready(SERVICE, now)]

    def test_entries_that_a_peer_says_lapsed_are_used_until_targets_are_back(
        self,
    ) -> None:
        """Hear of lapsed entries from a peer before this host reaches the store.

        The peer's call to the store came first after an outage. The host dropped all
        targets and refused every request until they had registered again, 2 s later.
        """
        board, watcher = self.start(TargetPhase.READY)
        dropped = KeyedRecord(key="i-1", offset=9, value=None)
        watcher.take(Topic.TARGETS, [dropped], now=20.0)
        self.assertEqual(self.list_ready(board, 21.0), ["i-1"])
        self.assertEqual(self.list_ready(board, 23.0), [])

    def test_leaving_target_that_is_gone_is_not_used(self) -> None:
        board, watcher = self.start(TargetPhase.DRAINING)
        dropped = KeyedRecord(key="i-1", offset=9, value=None)
        watcher.take(Topic.TARGETS, [dropped], now=20.0)
        self.assertEqual(self.list_ready(board, 20.0), [])


class PauseTest(unittest.TestCase):
    """Test how often topics are read."""

    def get_pause(self, topic: Topic, n_hosts: int, drain_s: float) -> float:
        """Return the seconds between two reads of a topic."""
        settings = FleetSettings(
            host="host-0",
            data_center="brest",
            address="127.0.0.1",
            caller_port=1,
            ready_port=1,
            peer_port=1,
            store_url="http://127.0.0.1:1",
            target_drain_s=drain_s,
        )
        board = make_board("host-0", [f"host-{n}" for n in range(n_hosts)])
        followers = make_followers(settings, board, mock.Mock(), mock.Mock())
        return followers[topic]._get_pause()

    def test_leaving_target_is_read_of_well_within_its_time(self) -> None:
        self.assertEqual(self.get_pause(Topic.TARGETS, 7, 2.0), 0.4)
        self.assertEqual(self.get_pause(Topic.TARGETS, 195, 4.0), 0.8)

    def test_start_of_a_large_fleet_is_read_in_batches(self) -> None:
        """Start 195 hosts at once, each of which writes a record.

        Waiting reads that return for each record make 38,000 calls, more than twice
        what the store answers in a second.
        """
        self.assertEqual(self.get_pause(Topic.HOSTS, 195, 4.0), LARGE_PAUSE_S)
        self.assertEqual(self.get_pause(Topic.HOSTS, 7, 2.0), 0.0)


if __name__ == "__main__":
    unittest.main()
