"""Test how a host applies relayed records, and how often it reads the store."""

import unittest
from dataclasses import replace
from unittest import mock

from tests.components.boards import make_board
from trefoilstage.components.fleet.board_updater import BoardUpdater
from trefoilstage.components.forwarding.models import (
    FleetConfiguration,
    TargetEntry,
    TargetPhase,
    TargetService,
)
from trefoilstage.components.views.keyed_view import KeyedRecord
from trefoilstage.components.views.store import Topic, make_position
from trefoilstage.fleet_board import FleetBoard
from trefoilstage.fleet_followers import LARGE_FLEET_PAUSE_S, make_followers
from trefoilstage.fleet_settings import FleetSettings

SERVICE = "model"


def decode_target(name: str, data: bytes) -> TargetEntry:
    """Return the entry of a target in the encoded phase."""
    return TargetEntry(
        name=name,
        service=SERVICE,
        address="127.0.0.1:1",
        data_center="brest",
        slots=1,
        phase=TargetPhase(data.decode()),
        started_ms=1,
    )


class ExpiredEntriesTest(unittest.TestCase):
    """Test the end of a store outage in which all targets' entries expired."""

    def start_in_outage(self, phase: TargetPhase) -> tuple[FleetBoard, BoardUpdater]:
        """Return the board and updater of a host that knows a target, in an outage."""
        board = make_board("host-0", ["host-1"])
        updater = BoardUpdater(
            board=board,
            configuration_key="config",
            evacuation_prefix="evacuate/",
            decode_configuration=mock.Mock(),
            decode_target=decode_target,
        )
        entry = KeyedRecord(key="i-1", offset=3, value=phase.value.encode())
        updater.apply_records(Topic.TARGETS, [entry], now=10.0)
        board.store.out_of_reach = True
        return board, updater

    def list_ready(self, board: FleetBoard, now: float) -> list[str]:
        """Return the names of the targets that get new work."""
        return [entry.name for entry in board.targets.list_ready(SERVICE, now)]

    def test_targets_whose_entries_expired_are_used_until_they_register_again(
        self,
    ) -> None:
        """Guard against requests refused for entries that expired in an outage.

        A peer that reached the store first relays the expiry to this host. The host
        dropped all targets and refused every request until they registered again 2 s
        later.
        """
        board, updater = self.start_in_outage(TargetPhase.READY)
        dropped = KeyedRecord(key="i-1", offset=9, value=None)
        updater.apply_records(Topic.TARGETS, [dropped], now=20.0)
        self.assertEqual(self.list_ready(board, 21.0), ["i-1"])
        self.assertEqual(self.list_ready(board, 23.0), [])

    def test_draining_target_with_an_expired_entry_is_not_used(self) -> None:
        board, updater = self.start_in_outage(TargetPhase.DRAINING)
        dropped = KeyedRecord(key="i-1", offset=9, value=None)
        updater.apply_records(Topic.TARGETS, [dropped], now=20.0)
        self.assertEqual(self.list_ready(board, 20.0), [])


class EvacuationTest(unittest.TestCase):
    """Test how evacuations of a data centre take effect."""

    def setUp(self) -> None:
        """Create a host's updater, and a ready target in the data centre brest."""
        self.board = make_board("host-0", ["host-1"])
        self.updater = BoardUpdater(
            board=self.board,
            configuration_key="config",
            evacuation_prefix="evacuate/",
            decode_configuration=mock.Mock(),
            decode_target=decode_target,
        )
        entry = KeyedRecord(key="i-1", offset=3, value=b"ready")
        self.updater.apply_records(Topic.TARGETS, [entry], now=10.0)

    def evacuate(self, data_center: str, value: bytes | None = b"{}") -> None:
        """Apply the operators' record about a data centre; None ends an evacuation."""
        record = KeyedRecord(key=f"evacuate/{data_center}", offset=5, value=value)
        self.updater.apply_records(Topic.CONFIGURATION, [record], now=11.0)

    def list_ready(self) -> list[str]:
        """Return the names of the targets that get new work."""
        ready = self.board.targets.list_ready(SERVICE, 12.0)
        return [entry.name for entry in ready]

    def test_targets_of_an_evacuated_data_centre_are_not_used(self) -> None:
        """Guard against requests to a data centre that is being evacuated."""
        self.evacuate("lorient")
        self.assertEqual(self.list_ready(), ["i-1"])
        self.evacuate("brest")
        self.assertEqual(self.list_ready(), [])
        self.evacuate("brest", None)
        self.assertEqual(self.list_ready(), ["i-1"])

    def test_target_that_registers_during_an_evacuation_is_not_used(self) -> None:
        """Guard against new targets in a data centre that is being evacuated."""
        self.evacuate("brest")
        entry = KeyedRecord(key="i-2", offset=6, value=b"ready")
        self.updater.apply_records(Topic.TARGETS, [entry], now=11.5)
        self.assertEqual(self.list_ready(), [])

    def test_targets_count_as_cold_after_an_evacuation(self) -> None:
        """Guard against trust in an entry that was written before the end."""
        service = TargetService(
            name=SERVICE, health_path="/", max_connections=1, cold_s=3.0
        )
        self.board.configuration = FleetConfiguration(services={SERVICE: service})
        targets = self.board.targets
        entry = targets.listed["i-1"].entry
        self.evacuate("brest")
        self.evacuate("brest", None)
        stale = KeyedRecord(key="i-1", offset=7, value=b"ready")
        self.updater.apply_records(Topic.TARGETS, [stale], now=11.1)
        self.assertTrue(targets.is_cold(entry, 13.9))
        self.assertFalse(targets.is_cold(entry, 14.1))

    def test_evacuation_with_an_unknown_value_takes_effect(self) -> None:
        """Guard against an evacuation that is ignored for a value of a later format."""
        self.evacuate("brest", b"\xff not JSON")
        self.assertEqual(self.list_ready(), [])


class PauseTest(unittest.TestCase):
    """Test how often a host reads each topic of the store."""

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
        followers = make_followers(
            settings, board, mock.Mock(), mock.Mock(), mock.Mock()
        )
        return followers[topic]._get_pause()

    def test_targets_are_read_several_times_within_the_drain_time(self) -> None:
        self.assertEqual(self.get_pause(Topic.TARGETS, 7, 2.0), 0.4)
        self.assertEqual(self.get_pause(Topic.TARGETS, 195, 4.0), 0.8)

    def test_start_of_a_large_fleet_is_read_in_batches(self) -> None:
        """Guard against a read of each host's record as soon as it is written.

        When 195 hosts start together and each writes a record, long polls that return
        after one record add up to 38,000 calls, more than twice what the store serves
        in a second.
        """
        self.assertEqual(self.get_pause(Topic.HOSTS, 195, 4.0), LARGE_FLEET_PAUSE_S)
        self.assertEqual(self.get_pause(Topic.HOSTS, 7, 2.0), 0.0)


def decode_numbered_target(name: str, data: bytes) -> TargetEntry:
    """Return the entry of a target in the encoded phase, with its sequence."""
    phase, _, sequence = data.decode().partition(" ")
    return replace(decode_target(name, phase.encode()), sequence=int(sequence))


class RestoredTargetsTest(unittest.TestCase):
    """Read a target's entries after the store came back from an older copy."""

    def list_ready_after(self, *values: str, restored_before: int) -> list[str]:
        """Return the usable targets after entries, some of a restored store.

        An empty value removes the entry.
        """
        board = make_board("host-0", ["host-1"])
        updater = BoardUpdater(
            board=board,
            configuration_key="config",
            evacuation_prefix="evacuate/",
            decode_configuration=mock.Mock(),
            decode_target=decode_numbered_target,
        )
        board.store.record_position(make_position(0, 1), 10.0)
        for number, value in enumerate(values):
            if number == restored_before:
                board.store.record_position(make_position(1, 1), 10.0)
            record = KeyedRecord(key="i-1", offset=number, value=value.encode() or None)
            updater.apply_records(Topic.TARGETS, [record], now=10.0)
        return [entry.name for entry in board.targets.list_ready(SERVICE, 20.0)]

    def test_leaving_target_stays_so_until_it_says_otherwise(self) -> None:
        """Guard against requests to a target that leaves, as a copy calls it ready."""
        listed = self.list_ready_after(
            "ready 5", "draining 6", "ready 5", restored_before=2
        )
        self.assertEqual(listed, [])

    def test_target_that_is_gone_is_not_used_again(self) -> None:
        """Guard against requests to a target that was removed since the copy."""
        listed = self.list_ready_after("ready 5", "", "ready 5", restored_before=2)
        self.assertEqual(listed, [])

    def test_entry_that_is_written_after_it_is_used(self) -> None:
        """Guard against a live target that is never used again."""
        for values in (("ready 5", "", "ready 6"), ("ready 5", "ready 4", "ready 6")):
            with self.subTest(values=values):
                listed = self.list_ready_after(*values, restored_before=2)
                self.assertEqual(listed, ["i-1"])

    def test_sequence_does_not_matter_otherwise(self) -> None:
        """Guard against an entry of another writer that stops all later ones."""
        listed = self.list_ready_after("draining 900", "ready 5", restored_before=9)
        self.assertEqual(listed, ["i-1"])


if __name__ == "__main__":
    unittest.main()
