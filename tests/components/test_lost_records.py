"""Test a fleet whose log dropped a record that no host has read."""

import asyncio
import random
import unittest
from unittest import mock

from mode import Service

from tests.components.relays import RelayFleet
from tests.components.test_stream import POLL_S, make_publish, wait_until
from trefoilstage.blackboard import StreamStatus
from trefoilstage.components.log_client import stream as stream_module
from trefoilstage.components.log_client.checkpoints import (
    CheckpointSchedule,
    PackedState,
    compress_state,
)
from trefoilstage.components.log_client.folds import ConfigFold
from trefoilstage.components.log_client.stream import StreamService, Ticket
from trefoilstage.components.peers.snapshots import SnapshotServer
from trefoilstage.helpers.verdict import ACCEPTED

TIMEOUT_S = 10.0
# How long to observe that no host skips the record.
OBSERVED_S = 1.0


class Member(Service):
    """Run one stream of a host that is connected to the log and its peers."""

    def __init__(self, *, fleet: RelayFleet, name: str) -> None:
        super().__init__()
        self.board = fleet.boards[name]
        self.relay = fleet.relays[name]
        self.board.streams["config"] = StreamStatus()
        self.stream = StreamService(
            name="config",
            incarnation=f"{name}-1",
            source=self.relay,
            fold=ConfigFold(blackboard=self.board),
            status=self.board.streams["config"],
            poll_s=POLL_S,
            schedule=CheckpointSchedule(interval_records=1_000_000, interval_s=3600.0),
            rank_writer=lambda _: 0,
            generator=random.Random(name),
        )
        SnapshotServer(
            server=fleet.peers[name],  # type: ignore[arg-type]
            pack=self.pack,
        )

    async def pack(self, name: str) -> PackedState | None:
        """Return the stream's packed state, or None before it is caught up."""
        if not self.stream.status.caught_up:
            return None
        return await compress_state(self.stream.fold.dump())

    async def on_start(self) -> None:
        """Start the relay and the stream."""
        await self.add_runtime_dependency(self.relay)
        await self.add_runtime_dependency(self.stream)


class LostRecordTest(unittest.IsolatedAsyncioTestCase):
    """Let an append take effect without a response and expire before it is read."""

    async def asyncSetUp(self) -> None:
        patch = mock.patch.object(stream_module, "LOST_AFTER_S", 0.1, create=True)
        patch.start()
        self.addCleanup(patch.stop)
        self.members: list[Member] = []

    async def asyncTearDown(self) -> None:
        for member in self.members:
            await member.stop()

    async def lose_record(
        self, fleet: RelayFleet, names: tuple[str, ...], *, n_kept: int = 1
    ) -> Ticket:
        """Publish a change, then append a second one twice without a response."""
        self.members = [Member(fleet=fleet, name=name) for name in names]
        for member in self.members:
            await member.start()
        first = self.members[0].stream
        async with asyncio.timeout(TIMEOUT_S):
            self.assertEqual(await first.submit(make_publish(1)).future, ACCEPTED)
        for member in self.members:
            await wait_until(lambda m=member: m.stream.fold.next_offset == 1, "both")
        fleet.reads_hang = True
        fleet.n_responses_to_drop = 2
        ticket = first.submit(make_publish(2))
        await wait_until(lambda: len(fleet.log.records) >= 4, "the copies")
        fleet.log.n_kept = n_kept
        fleet.reads_hang = False
        return ticket

    async def test_fleet_skips_a_record_that_no_host_has(self) -> None:
        """Guard against a stream that is blocked permanently at a lost record.

        All hosts lose the log during an append, for longer than its retention. The
        append takes effect twice without a response, so that no host knows the offsets,
        and both copies expire before the log is back. Every host waited at the first
        one for a checkpoint; no host was caught up, so no host provided a state. No
        change of the configuration and no draw was possible any more.
        """
        names = ("a", "b", "c")
        fleet = RelayFleet(names=names)
        ticket = await self.lose_record(fleet, names)
        async with asyncio.timeout(TIMEOUT_S):
            self.assertEqual(await ticket.future, ACCEPTED)
        expected = self.members[0].board.config.files
        self.assertEqual(len(expected), 2)
        for member in self.members:
            await wait_until(
                lambda m=member: m.board.config.files == expected, "the change"
            )

    async def test_record_known_to_its_sender_is_kept_when_the_log_is_empty(
        self,
    ) -> None:
        """Lose a record as above, then let the log drop all its records.

        The third append got a response, so that its host knows the record and its
        offset. Hosts may skip the two copies before it but not the change itself.
        """
        fleet = RelayFleet(names=("a", "b", "c"))
        ticket = await self.lose_record(fleet, ("a", "b", "c"), n_kept=0)
        async with asyncio.timeout(TIMEOUT_S):
            self.assertEqual(await ticket.future, ACCEPTED)
        for member in self.members:
            await wait_until(lambda m=member: len(m.board.config.files) == 2, "both")

    async def test_no_host_skips_a_record_while_a_host_is_unreachable(self) -> None:
        """Lose a record as above, with a fourth host that does not respond.

        That host may have read the record and acted on it, for example used a draw
        of tokens.
        A host that skipped the record would count those tokens as free and spend them
        again, so all hosts wait for the fourth.
        """
        names = ("a", "b", "c")
        fleet = RelayFleet(names=(*names, "d"))
        fleet.peers["d"].is_unresponsive = True
        ticket = await self.lose_record(fleet, names)
        await asyncio.sleep(OBSERVED_S)
        self.assertFalse(ticket.future.done())
        for member in self.members:
            self.assertEqual(member.stream.fold.next_offset, 1)
        # Once the fourth replies that it has not read the record either, they skip it.
        fleet.peers["d"].is_unresponsive = False
        fleet.boards["d"].streams["config"] = StreamStatus(next_offset=1)
        async with asyncio.timeout(TIMEOUT_S):
            self.assertEqual(await ticket.future, ACCEPTED)


if __name__ == "__main__":
    unittest.main()
