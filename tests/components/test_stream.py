"""Test a stream on a log in memory that loses calls or records or can't be read."""

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
    """Store one stream's records and fail on request."""

    records: dict[int, bytes] = field(default_factory=dict)
    next_offset: int = 0
    n_requests_to_lose: int = 0
    n_responses_to_lose: int = 0
    is_broken: bool = False

    @property
    def earliest(self) -> int:
        """Return the offset of the oldest record."""
        return min(self.records, default=self.next_offset)

    async def append(self, stream: str, records: list[bytes]) -> int:
        """Append records; lose as many requests, then responses, as configured."""
        if self.n_requests_to_lose > 0:
            self.n_requests_to_lose -= 1
            raise LogUnavailableError("request lost")
        first = self.next_offset
        for data in records:
            self.records[self.next_offset] = data
            self.next_offset += 1
        if self.n_responses_to_lose > 0:
            self.n_responses_to_lose -= 1
            raise LogUnavailableError("response lost")
        return first

    async def read(self, stream: str, offset: int, *, wait_s: float) -> LogPage:
        """Return the records from an offset."""
        await asyncio.sleep(POLL_S)
        if self.is_broken:
            raise ValueError("unexpected error")
        if offset < self.earliest:
            raise RecordsExpiredError(earliest=self.earliest)
        found = tuple(
            LogRecord(offset=position, data=self.records[position])
            for position in range(offset, self.next_offset)
        )
        return LogPage(records=found, end_offset=self.next_offset)

    def expire(self, before: int) -> None:
        """Drop the records before an offset."""
        for offset in [item for item in self.records if item < before]:
            del self.records[offset]


@dataclass(kw_only=True)
class LogLink:
    """Connect one host to the log; its reads can be cut off, its appends cannot."""

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
        # A read in flight when the connection is cut must lose its response too.
        if self.cut_reads:
            raise LogUnavailableError("cut")
        return page

    async def fetch_state(self, stream: str) -> PackedState | None:
        """Return no state, as without peers."""
        return None

    async def find_dropped_records(self, stream: str, offset: int) -> LogPage | None:
        """Return no record, as without peers."""
        return None

    async def is_folded_by_peer(self, stream: str, offset: int) -> bool:
        """Return True, as without peers."""
        return True

    async def may_skip_record(self, stream: str, offset: int) -> bool:
        """Return False, as if some host did not respond."""
        return False


class Follower(Service):
    """Run one stream as a host does."""

    def __init__(
        self, *, log: MemoryLog, name: str, checkpoint_interval: int = 1_000_000
    ) -> None:
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
            schedule=CheckpointSchedule(
                interval_records=checkpoint_interval, interval_s=3600.0
            ),
            rank_writer=lambda _: 0,
            generator=random.Random(name),
        )

    async def on_start(self) -> None:
        """Start the stream."""
        await self.add_runtime_dependency(self.stream)


def make_publish(number: int, content: str = "", *, base: int = -1) -> Publish:
    """Return a change that publishes a separate file for each number."""
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
    """Read and append to one stream."""

    def setUp(self) -> None:
        self.log = MemoryLog()
        self.started: list[Follower] = []

    async def start(
        self, name: str, *, checkpoint_interval: int = 1_000_000
    ) -> Follower:
        """Start a follower that is stopped at the end of the test."""
        follower = Follower(
            log=self.log, name=name, checkpoint_interval=checkpoint_interval
        )
        self.started.append(follower)
        await follower.start()
        return follower

    async def asyncTearDown(self) -> None:
        for follower in self.started:
            await follower.stop()

    async def test_record_is_accepted_once_when_responses_are_lost(self) -> None:
        """Lose one request, then the responses to two appends that took effect.

        The host cannot read the log in the meantime, so it resends the group each
        time and the log stores three copies. The first is accepted, the others are
        duplicates, and the change queued behind them is accepted.
        """
        follower = await self.start("a")
        verdicts: list[Verdict] = []
        follower.stream.subscribe(lambda _, __, verdict: verdicts.append(verdict))
        follower.link.cut_reads = True
        self.log.n_requests_to_lose = 1
        self.log.n_responses_to_lose = 2
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
        """Submit a record that the log would reject on every attempt.

        The writer rejects it immediately, and the change behind it is accepted.
        """
        follower = await self.start("a")
        large = make_publish(1, "#" * MAX_RECORD_BYTES)
        tickets = [follower.stream.submit(item) for item in (large, make_publish(2))]
        async with asyncio.timeout(TIMEOUT_S):
            verdicts = [await ticket.future for ticket in tickets]
        self.assertIsInstance(verdicts[0], Rejected)
        self.assertEqual(verdicts[1], ACCEPTED)

    async def test_record_that_no_host_can_read_does_not_block_the_next(self) -> None:
        """Guard against a malformed record that blocks all records behind it."""
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
        """Lose the response and the reads of the log until the record has expired.

        Another host folds the record and writes a checkpoint. The writer later finds
        only the checkpoint, and still learns that its change was accepted.
        """
        writer = await self.start("a")
        other = await self.start("b", checkpoint_interval=1)
        await wait_until(lambda: writer.stream.status.caught_up, "the writer")
        writer.link.cut_reads = True
        self.log.n_responses_to_lose = 1
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
        """Let the state grow beyond the size of one record.

        The checkpoint is written in parts, and a host that starts after the older
        records have expired reassembles them.
        """
        generator = random.Random(5)
        first = await self.start("a")
        n_files = 12
        for number in range(n_files):
            text = "".join(f"# {generator.random()}\n" for _ in range(9_000))
            async with asyncio.timeout(TIMEOUT_S):
                verdict = await first.stream.submit(make_publish(number, text)).future
            self.assertEqual(verdict, ACCEPTED)
        writer = await self.start("b", checkpoint_interval=n_files)
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
        """Upgrade the stream to a version that this host does not support.

        The host folds the records before the upgrade, then halts and reports it. It
        must neither apply nor skip a record whose meaning it does not know.
        """
        follower = await self.start("a")
        async with asyncio.timeout(TIMEOUT_S):
            await follower.stream.submit(make_publish(1)).future
        follower.stream.submit(Upgrade(version=2))
        follower.stream.submit(make_publish(2))
        await wait_until(lambda: follower.stream.status.halted, "the halt")
        self.assertFalse(follower.stream.status.caught_up)
        self.assertEqual(follower.stream.fold.next_offset, 1)

    async def test_unexpected_error_crashes_the_whole_host(self) -> None:
        """Raise an unexpected error while the stream is read.

        The stream does not end alone: its owner is marked as crashed, so that the
        daemon ends the process and another host takes over.
        """
        follower = await self.start("a")
        self.log.is_broken = True
        await wait_until(lambda: follower.crashed, "the crash")
        self.assertIsInstance(follower.crash_reason, ValueError)


if __name__ == "__main__":
    unittest.main()
