"""Test a fleet whose log dropped a record that nobody has read."""

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
# How long a fleet must go on standing still to count as safe from going on.
STANDS_STILL_S = 1.0


class Member(Service):
    """Own one stream of a host that reaches the log and its peers."""

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
            schedule=CheckpointSchedule(every=1_000_000, interval_s=3600.0),
            rank_writer=lambda _: 0,
            generator=random.Random(name),
        )
        SnapshotServer(
            server=fleet.handlers[name],  # type: ignore[arg-type]
            pack=self.pack,
        )

    async def pack(self, name: str) -> PackedState | None:
        """Return the stream's state once it is whole."""
        if not self.stream.status.caught_up:
            return None
        return await compress_state(self.stream.fold.dump())

    async def on_start(self) -> None:
        """Start the relay and the stream."""
        await self.add_runtime_dependency(self.relay)
        await self.add_runtime_dependency(self.stream)


class LostRecordTest(unittest.IsolatedAsyncioTestCase):
    """Let an append land without an answer, and expire before it is read."""

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
        """Accept a first change, then land a second one twice without an answer."""
        self.members = [Member(fleet=fleet, name=name) for name in names]
        for member in self.members:
            await member.start()
        first = self.members[0].stream
        async with asyncio.timeout(TIMEOUT_S):
            self.assertEqual(await first.submit(make_publish(1)).future, ACCEPTED)
        for member in self.members:
            await wait_until(lambda m=member: m.stream.fold.next_offset == 1, "both")
        fleet.cut_reads = True
        fleet.lose_answers = 2
        ticket = first.submit(make_publish(2))
        await wait_until(lambda: len(fleet.log.records) >= 4, "the copies")
        fleet.log.n_kept = n_kept
        fleet.cut_reads = False
        return ticket

    async def test_fleet_goes_on_past_a_record_that_nobody_has(self) -> None:
        """Cut all hosts from the log as one appends, for longer than it keeps records.

        The append lands twice without an answer, so that nobody knows at which offsets,
        and both copies are gone before the log is back. Every host stood before the
        first one and sought a checkpoint; none was caught up, so none gave a state to
        the others. No change of the configuration and no draw was possible any more.
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

    async def test_record_that_its_sender_knows_is_kept_when_the_log_holds_none(
        self,
    ) -> None:
        """Lose a record as above, then let the log drop all that it holds.

        The third sending was answered: two hosts know the record and its offset. Only
        the two before it are passed over; the change itself must not be.
        """
        fleet = RelayFleet(names=("a", "b", "c"))
        ticket = await self.lose_record(fleet, ("a", "b", "c"), n_kept=0)
        async with asyncio.timeout(TIMEOUT_S):
            self.assertEqual(await ticket.future, ACCEPTED)
        for member in self.members:
            await wait_until(lambda m=member: len(m.board.config.files) == 2, "both")

    async def test_nobody_goes_on_while_a_host_is_out_of_reach(self) -> None:
        """Lose a record as above, with a fourth host that gives no answer.

        It may have read the record and acted upon it, as by a draw of tokens. A host
        that went on without it would count those tokens as free and spend them again,
        so all wait for it.
        """
        names = ("a", "b", "c")
        fleet = RelayFleet(names=(*names, "d"))
        fleet.handlers["d"].silent = True
        ticket = await self.lose_record(fleet, names)
        await asyncio.sleep(STANDS_STILL_S)
        self.assertFalse(ticket.future.done())
        for member in self.members:
            self.assertEqual(member.stream.fold.next_offset, 1)
        # Once it answers that it has not read the record either, they go on.
        fleet.handlers["d"].silent = False
        fleet.boards["d"].streams["config"] = StreamStatus(next_offset=1)
        async with asyncio.timeout(TIMEOUT_S):
            self.assertEqual(await ticket.future, ACCEPTED)


if __name__ == "__main__":
    unittest.main()
