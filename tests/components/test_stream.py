"""Follow a stream of a log in memory that loses answers, records and itself."""

import asyncio
import random
import unittest
from dataclasses import dataclass, field, replace

from mode import Service

from trefoilstage.blackboard import Blackboard, StreamStatus
from trefoilstage.components.log_client.checkpoints import (
    MAX_PART_BYTES,
    CheckpointSchedule,
    PackedState,
)
from trefoilstage.components.log_client.client import LogPage, LogRecord
from trefoilstage.components.log_client.folds import ConfigFold
from trefoilstage.components.log_client.stream import StreamService
from trefoilstage.configuration.records import Publish
from trefoilstage.const import MAX_RECORD_BYTES
from trefoilstage.exceptions import LogUnavailableError, RecordsExpiredError
from trefoilstage.helpers.verdict import ACCEPTED, Reason, Rejected, Verdict
from trefoilstage.ledger.records import Upgrade

TIMEOUT_S = 10.0
POLL_S = 0.01


@dataclass(kw_only=True)
class MemoryLog:
    """Hold one stream's records; misbehave as told."""

    records: dict[int, bytes] = field(default_factory=dict)
    next_offset: int = 0
    lose_requests: int = 0
    lose_answers: int = 0
    is_broken: bool = False

    @property
    def earliest(self) -> int:
        """Return the first offset that is kept."""
        return min(self.records, default=self.next_offset)

    async def append(self, stream: str, records: list[bytes]) -> int:
        """Add records; lose the answer after the effect as often as told."""
        if self.lose_requests > 0:
            self.lose_requests -= 1
            raise LogUnavailableError("request lost")
        first = self.next_offset
        for data in records:
            self.records[self.next_offset] = data
            self.next_offset += 1
        if self.lose_answers > 0:
            self.lose_answers -= 1
            raise LogUnavailableError("answer lost")
        return first

    async def read(self, stream: str, offset: int, *, wait_s: float) -> LogPage:
        """Return the records from an offset on."""
        await asyncio.sleep(POLL_S)
        if self.is_broken:
            raise ValueError("a fault of the program")
        if offset < self.earliest:
            raise RecordsExpiredError(earliest=self.earliest)
        found = tuple(
            LogRecord(offset=place, data=self.records[place])
            for place in range(offset, self.next_offset)
        )
        return LogPage(records=found, next_offset=self.next_offset)

    def expire(self, before: int) -> None:
        """Drop the records before an offset."""
        for offset in [place for place in self.records if place < before]:
            del self.records[offset]


@dataclass(kw_only=True)
class LogLink:
    """Reach the log as one host does; reads can be cut for it alone."""

    log: MemoryLog
    cut_reads: bool = False

    async def append(self, stream: str, records: list[bytes]) -> int:
        """Append to the log."""
        return await self.log.append(stream, records)

    async def read(self, stream: str, offset: int, *, wait_s: float) -> LogPage:
        """Read from the log unless cut."""
        if self.cut_reads:
            raise LogUnavailableError("cut")
        page = await self.log.read(stream, offset, wait_s=wait_s)
        # A read under way when the cut comes must lose its answer as well.
        if self.cut_reads:
            raise LogUnavailableError("cut")
        return page

    async def fetch_state(self, stream: str) -> PackedState | None:
        """Give no state, as without peers."""
        return None

    async def search(self, stream: str, offset: int) -> LogPage | None:
        """Find no record, as without peers."""
        return None

    async def is_shared(self, stream: str, offset: int) -> bool:
        """Live alone."""
        return True

    async def is_lost(self, stream: str, offset: int) -> bool:
        """Wait for the log, as one who can't ask all hosts."""
        return False


class Follower(Service):
    """Own one stream as a host does."""

    def __init__(self, *, log: MemoryLog, name: str, every: int = 1_000_000) -> None:
        super().__init__()
        self.blackboard = Blackboard(host=name, incarnation=name, data_center="d")
        self.link = LogLink(log=log)
        self.stream = StreamService(
            name="config",
            incarnation=name,
            source=self.link,
            fold=ConfigFold(blackboard=self.blackboard),
            status=StreamStatus(),
            poll_s=POLL_S,
            schedule=CheckpointSchedule(every=every, interval_s=3600.0),
            rank_writer=lambda _: 0,
            generator=random.Random(name),
        )

    async def on_start(self) -> None:
        """Start the stream."""
        await self.add_runtime_dependency(self.stream)


def make_publish(number: int, content: str = "", *, base: int = -1) -> Publish:
    """Return a change of a file of its own."""
    return Publish(
        operation=f"op-{number}",
        name=f"{number:02d}-a.toml",
        content=content,
        base_revision=base,
    )


async def wait_until(condition: object, what: str) -> None:
    """Wait until a condition holds."""
    assert callable(condition)
    async with asyncio.timeout(TIMEOUT_S):
        while not condition():
            await asyncio.sleep(POLL_S)


class StreamTest(unittest.IsolatedAsyncioTestCase):
    """Follow and write one stream."""

    def setUp(self) -> None:
        self.log = MemoryLog()
        self.started: list[Follower] = []

    async def start(self, name: str, *, every: int = 1_000_000) -> Follower:
        """Start a follower that the test ends."""
        follower = Follower(log=self.log, name=name, every=every)
        self.started.append(follower)
        await follower.start()
        return follower

    async def asyncTearDown(self) -> None:
        for follower in self.started:
            await follower.stop()

    async def test_lost_answers_land_a_record_once(self) -> None:
        """Lose a request before, and two answers after, an append took effect.

        The host cannot see the log meanwhile, so it sends the same group again
        each time and three copies land. The first one is accepted, the others
        are repeats, and the change queued behind is accepted after them.
        """
        follower = await self.start("a")
        verdicts: list[Verdict] = []
        follower.stream.subscribe(lambda _, __, verdict: verdicts.append(verdict))
        follower.link.cut_reads = True
        self.log.lose_requests = 1
        self.log.lose_answers = 2
        tickets = [follower.stream.submit(make_publish(1))]
        await wait_until(lambda: self.log.next_offset == 3, "three copies")
        tickets.append(follower.stream.submit(make_publish(2)))
        follower.link.cut_reads = False
        async with asyncio.timeout(TIMEOUT_S):
            results = [await ticket.future for ticket in tickets]
        self.assertEqual(results, [ACCEPTED, ACCEPTED])
        repeat = Rejected(reason=Reason.DUPLICATE)
        self.assertEqual(verdicts, [ACCEPTED, repeat, repeat, ACCEPTED])

    async def test_record_beyond_the_limit_does_not_block_the_next(self) -> None:
        """Submit a record that the log would refuse each time.

        It is rejected at once, and the change behind it is accepted.
        """
        follower = await self.start("a")
        large = make_publish(1, "#" * MAX_RECORD_BYTES)
        tickets = [follower.stream.submit(item) for item in (large, make_publish(2))]
        async with asyncio.timeout(TIMEOUT_S):
            verdicts = [await ticket.future for ticket in tickets]
        self.assertIsInstance(verdicts[0], Rejected)
        self.assertEqual(verdicts[1], ACCEPTED)

    async def test_record_that_no_host_can_read_does_not_block_the_next(self) -> None:
        """Guard against a writer whose records all wait for a malformed one."""
        follower = await self.start("a")
        malformed = replace(make_publish(1), name="no file")
        tickets = [
            follower.stream.submit(item) for item in (malformed, make_publish(2))
        ]
        async with asyncio.timeout(TIMEOUT_S):
            verdicts = [await ticket.future for ticket in tickets]
        self.assertIsInstance(verdicts[0], Rejected)
        self.assertEqual(verdicts[1], ACCEPTED)

    async def test_verdict_is_known_after_falling_behind_the_retention(self) -> None:
        """Lose the answer and the sight of the log until the record has expired.

        Another host folds the record and writes a checkpoint. The writer comes
        back to find only that, and still learns that its change was accepted.
        """
        writer = await self.start("a")
        other = await self.start("b", every=1)
        await wait_until(lambda: writer.stream.status.caught_up, "the writer")
        writer.link.cut_reads = True
        self.log.lose_answers = 1
        ticket = writer.stream.submit(make_publish(1))
        await wait_until(lambda: other.stream.fold.next_offset > 2, "the checkpoint")
        self.assertFalse(ticket.future.done())
        self.log.expire(1)
        writer.link.cut_reads = False
        async with asyncio.timeout(TIMEOUT_S):
            verdict = await ticket.future
        self.assertEqual(verdict, ACCEPTED)
        self.assertEqual(writer.blackboard.config.files, other.blackboard.config.files)

    async def test_state_beyond_one_record_is_restored_from_parts(self) -> None:
        """Grow the state beyond what one record may hold.

        The checkpoint comes in parts, and a host that starts when the rest has
        expired puts them together.
        """
        generator = random.Random(5)
        first = await self.start("a")
        n_files = 12
        for number in range(n_files):
            text = "".join(f"# {generator.random()}\n" for _ in range(9_000))
            async with asyncio.timeout(TIMEOUT_S):
                verdict = await first.stream.submit(make_publish(number, text)).future
            self.assertEqual(verdict, ACCEPTED)
        writer = await self.start("b", every=n_files)
        await wait_until(lambda: self.log.next_offset > n_files, "the checkpoint")
        parts = [self.log.records[n] for n in range(n_files, self.log.next_offset)]
        self.assertGreater(len(parts), 1)
        self.assertLess(max(map(len, parts)), MAX_PART_BYTES + 1_000)
        self.log.expire(n_files)
        newcomer = await self.start("c")
        await wait_until(lambda: newcomer.stream.status.caught_up, "the newcomer")
        self.assertEqual(
            newcomer.blackboard.config.files, writer.blackboard.config.files
        )

    async def test_stream_halts_at_an_unknown_version(self) -> None:
        """Let the stream go over to a version that this host does not know.

        The host folds what came before, then nothing more, and says so; it
        never applies or skips a record whose meaning it would have to guess.
        """
        follower = await self.start("a")
        async with asyncio.timeout(TIMEOUT_S):
            await follower.stream.submit(make_publish(1)).future
        follower.stream.submit(Upgrade(version=2))
        follower.stream.submit(make_publish(2))
        await wait_until(lambda: follower.stream.status.halted, "the halt")
        self.assertFalse(follower.stream.status.caught_up)
        self.assertEqual(follower.stream.fold.next_offset, 1)

    async def test_fault_of_the_program_ends_the_whole_host(self) -> None:
        """Let the follower meet an error that nobody expected.

        The part does not end alone: its owner is marked as crashed, so that the
        daemon ends the process and another host takes over.
        """
        follower = await self.start("a")
        self.log.is_broken = True
        await wait_until(lambda: follower.crashed, "the crash")
        self.assertIsInstance(follower.crash_reason, ValueError)


if __name__ == "__main__":
    unittest.main()
