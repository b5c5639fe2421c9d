"""Test callers and targets that don't read, on real hosts.

The limits follow from the terms: what a host holds for an unread answer is bounded by
a number of bytes for each request with its two connections, whatever the answer's
length, and it holds nothing once the caller has left or its deadline has passed.
"""

import asyncio
import contextlib
import socket
import time
import unittest
from pathlib import Path

from standins.launcher import poll_until
from standins.platform import LOOPBACK
from tests.promises.fleet import FleetAnswer, HostProcess, PlatformFleet

KIB = 1024
MIB = 1024 * KIB
# For a request and its two connections: the HTTP library reads at most 128 KiB and one
# read of the socket, 256 KiB, ahead. The rest is for copies of the events being passed
# on, which are shorter here than the longest that a stream may have.
MAX_HELD_BYTES = 1 * MIB
# A body as it arrives, as a whole, and its unsent part.
MAX_BODY_COPIES = 3
EVENT_BYTES = 16 * KIB
# Many times what the kernel's buffers take: some MiB for each connection.
N_EVENTS = 4_000
ANSWER_BYTES = 16 * MIB
UNREAD_BYTES = 7 * MIB  # more than the kernel's buffers take; a host passes it on
BODY_BYTES = 4_000_000
RECEIVE_BUFFER_BYTES = 16 * KIB
READ_BYTES = 64 * KIB
N_CALLERS = 4
N_OTHER_CALLS = 10
DEADLINE_S = 4.0
MS_PER_S = 1_000
MAX_UNREAD_S = 1.0
LAST_CHUNK = b"0\r\n\r\n"
# Statuses that promise that a request has not run and never will.
NOT_RUN_STATUSES = (408, 421, 429, 503)
# 421 is left out: it names another target, which did not run the request.
OWN_FAILURES = (500, 504, 408, 429, 503)
BOOK = "/book/x"
LOOK = "/look/x"
STREAM = "/stream/x"


class UnreadCaller:
    """Send a request on a connection of its own, and read only when told to."""

    def __init__(self, *, host: HostProcess, path: str, number: int) -> None:
        self._socket = socket.socket()
        self._socket.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
        )
        self._socket.connect((LOOPBACK, host.caller_port))
        self._socket.sendall(
            f"POST {path} HTTP/1.1\r\nHost: club.example\r\nKey: key\r\n"
            f"Attempt-Id: unread-{number}\r\n"
            f"Deadline-Ms: {DEADLINE_S * MS_PER_S:.0f}\r\n"
            "Token-Count: 100,10\r\nContent-Length: 0\r\n\r\n".encode()
        )
        self._socket.setblocking(False)

    async def read_all(self) -> bytes:
        """Return the answer up to the end or the reset of the connection."""
        loop = asyncio.get_running_loop()
        data = bytearray()
        with contextlib.suppress(ConnectionResetError):
            while part := await loop.sock_recv(self._socket, READ_BYTES):
                data += part
        return bytes(data)

    def close(self) -> None:
        """Close the connection."""
        self._socket.close()


def open_callers(
    case: unittest.TestCase, fleet: PlatformFleet, path: str, n_callers: int = N_CALLERS
) -> list[UnreadCaller]:
    """Send requests of callers that don't read; closed after the test."""
    host = fleet.hosts["host-0"]
    callers = [
        UnreadCaller(host=host, path=path, number=number) for number in range(n_callers)
    ]
    for caller in callers:
        case.addCleanup(caller.close)
    return callers


def read_memory(host: HostProcess, name: str) -> int:
    """Return an entry of the kernel's report on a host's memory, in bytes."""
    status = Path(f"/proc/{host.process.pid}/status").read_text()
    line = next(line for line in status.splitlines() if line.startswith(name))
    return int(line.split()[1]) * KIB


def list_held_data(fleet: PlatformFleet) -> list[str]:
    """Return the host's open sockets with unsent or unread data, as the kernel does.

    A socket without an inode was closed by its process.
    """
    caller_port = fleet.hosts["host-0"].caller_port
    found: list[str] = []
    for line in Path("/proc/net/tcp").read_text().splitlines()[1:]:
        words = line.split()
        local, remote = (int(word.rpartition(":")[2], 16) for word in words[1:3])
        is_open, queues = words[9] != "0", words[4]
        if (
            is_open
            and queues != "00000000:00000000"
            and (local == caller_port or remote in fleet.ports)
        ):
            found.append(line)
    return found


def count_ended(fleet: PlatformFleet) -> int:
    """Return how many requests of callers that don't read the host has ended."""
    lines = fleet.hosts["host-0"].lines
    return sum("request_done" in line and "unread-" in line for line in lines)


async def wait_for_release(fleet: PlatformFleet) -> None:
    """Wait until the host holds no data for callers and targets."""
    await poll_until(lambda: count_ended(fleet) == N_CALLERS, "the requests to end")
    await poll_until(lambda: not list_held_data(fleet), "the host to release all data")


class UnreadAnswerTest(unittest.IsolatedAsyncioTestCase):
    """Let callers send requests and not read the answers."""

    async def test_unread_streams_are_not_buffered(self) -> None:
        """Guard against a host that holds whole streams for callers that don't read.

        The streams have 64 MB each. Other callers are served meanwhile. At the
        deadline the host closes the connections, although the callers still don't read.
        """
        async with PlatformFleet() as fleet:
            host = fleet.hosts["host-0"]
            lengthen_streams(fleet)
            before = read_memory(host, "VmRSS")
            open_callers(self, fleet, STREAM)
            await poll_until(lambda: fleet.count_runs() == N_CALLERS, "the runs")
            runs = [run for target in fleet.targets for run in target.runs]
            for _ in range(N_OTHER_CALLS):
                self.assertEqual((await fleet.call(LOOK)).status, 200)
            await wait_for_release(fleet)
            growth = read_memory(host, "VmHWM") - before
            self.assertLessEqual(growth, N_CALLERS * MAX_HELD_BYTES)
            self.assertFalse(any(run.ended for run in runs))

    async def test_callers_that_leave_release_their_streams(self) -> None:
        """Guard against unread streams that are held after their callers have left."""
        async with PlatformFleet() as fleet:
            lengthen_streams(fleet)
            callers = open_callers(self, fleet, STREAM)
            await poll_until(lambda: fleet.count_runs() == N_CALLERS, "the runs")
            began = time.monotonic()
            for caller in callers:
                caller.close()
            await wait_for_release(fleet)
            self.assertLess(time.monotonic() - began, DEADLINE_S / 2)

    async def test_unread_whole_answers_are_released_at_the_deadline(self) -> None:
        """Guard against whole answers that are held as long as a caller stays."""
        async with PlatformFleet() as fleet:
            for target in fleet.targets:
                target.answer = b"." * ANSWER_BYTES
            open_callers(self, fleet, BOOK)
            await wait_for_release(fleet)
            self.assertEqual(fleet.count_runs(), N_CALLERS)

    async def test_answer_that_is_discarded_unread_is_logged(self) -> None:
        """Guard against a caller's connection that is closed without a line."""
        async with PlatformFleet() as fleet:
            host = fleet.hosts["host-0"]
            for target in fleet.targets:
                target.answer = b"." * UNREAD_BYTES
            open_callers(self, fleet, BOOK, 1)
            await poll_until(
                lambda: host.has_logged("request_unanswered", "unread-0"), "a line"
            )
            await poll_until(lambda: not list_held_data(fleet), "the release")

    async def test_response_cut_off_unread_looks_broken_and_runs_once(self) -> None:
        """Guard against a response that its target cut off and that looks complete.

        The target resets the connection when the host has left data unread for a
        second. The caller then reads; the end of the chunks must be missing. Without
        chunks, the HTTP library takes the reset for the end.
        """
        for is_unframed in (False, True):
            with self.subTest(is_unframed=is_unframed):
                async with PlatformFleet() as fleet:
                    lengthen_streams(fleet)
                    for target in fleet.targets:
                        target.max_unread_s = MAX_UNREAD_S
                        target.is_unframed = is_unframed
                    (caller,) = open_callers(self, fleet, STREAM, 1)
                    await poll_until(lambda: has_cut_off(fleet), "the cut")
                    answer = await caller.read_all()
                    self.assertTrue(answer.startswith(b"HTTP/1.1 200"))
                    self.assertFalse(answer.endswith(LAST_CHUNK))
                    self.assertEqual(fleet.count_runs(), 1)


class UnreadBodyTest(unittest.IsolatedAsyncioTestCase):
    """Let targets not read the bodies of requests."""

    async def test_unread_bodies_are_released_at_the_deadline(self) -> None:
        """Guard against bodies that are held, sent again or said not to have run.

        Other callers are served meanwhile.
        """
        async with PlatformFleet() as fleet:
            host = fleet.hosts["host-0"]
            for target in fleet.targets:
                target.reads_bodies = False
            before = read_memory(host, "VmRSS")
            calls = start_bookings(fleet)
            await poll_until(lambda: count_unread_bodies(fleet) == N_CALLERS, "bodies")
            for _ in range(N_OTHER_CALLS):
                self.assertEqual((await fleet.call(LOOK, method="GET")).status, 200)
            answers = await asyncio.gather(*calls)
            for answer in answers:
                self.assertNotIn(answer.status, NOT_RUN_STATUSES)
                self.assertGreaterEqual(answer.status, 500)
            await wait_for_release(fleet)
            self.assertEqual(count_unread_bodies(fleet), N_CALLERS)
            growth = read_memory(host, "VmHWM") - before
            limit = MAX_BODY_COPIES * BODY_BYTES + MAX_HELD_BYTES
            self.assertLessEqual(growth, N_CALLERS * limit)

    async def test_callers_that_leave_release_their_bodies(self) -> None:
        """Guard against unread bodies that are held after their callers have left."""
        async with PlatformFleet() as fleet:
            for target in fleet.targets:
                target.reads_bodies = False
            calls = start_bookings(fleet)
            await poll_until(lambda: count_unread_bodies(fleet) == N_CALLERS, "bodies")
            began = time.monotonic()
            for call in calls:
                call.cancel()
            await wait_for_release(fleet)
            self.assertLess(time.monotonic() - began, DEADLINE_S / 2)
            self.assertEqual(count_unread_bodies(fleet), N_CALLERS)


class OwnFailureTest(unittest.IsolatedAsyncioTestCase):
    """Let targets run requests and answer with failures of their own."""

    async def test_own_failure_counts_as_run(self) -> None:
        """Guard against a second run, and a false promise, after a target's failure.

        The request may run only once. No target says that it did not run it.
        """
        for status in OWN_FAILURES:
            for has_seal in (True, False):
                for path in (BOOK, STREAM):
                    with self.subTest(status=status, has_seal=has_seal, path=path):
                        await self.check_failure(status, path, has_seal=has_seal)

    async def check_failure(self, status: int, path: str, *, has_seal: bool) -> None:
        """Send a request to targets that fail, and check that it ran only once."""
        async with PlatformFleet() as fleet:
            for target in fleet.targets:
                target.fail, target.fail_status = True, status
                target.has_seal = has_seal
                target.headers["Retry-After"] = "1"
            answer = await fleet.call(path)
            self.assertNotIn(answer.status, NOT_RUN_STATUSES)
            self.assertGreaterEqual(answer.status, 500)
            self.assertEqual(fleet.count_runs(), 1)


def lengthen_streams(fleet: PlatformFleet) -> None:
    """Let the targets' streams be longer than the kernel's buffers."""
    for target in fleet.targets:
        target.n_events, target.padding_bytes = N_EVENTS, EVENT_BYTES


def has_cut_off(fleet: PlatformFleet) -> bool:
    """Return whether a target has cut off a response."""
    return any(run.cut_off for target in fleet.targets for run in target.runs)


def start_bookings(fleet: PlatformFleet) -> list[asyncio.Task[FleetAnswer]]:
    """Send requests with long bodies that may run only once."""
    headers = {"Deadline-Ms": f"{DEADLINE_S * MS_PER_S:.0f}"}
    return [
        asyncio.create_task(
            fleet.call(
                BOOK,
                attempt=f"unread-{number}",
                body=b"." * BODY_BYTES,
                more_headers=headers,
            )
        )
        for number in range(N_CALLERS)
    ]


def count_unread_bodies(fleet: PlatformFleet) -> int:
    """Return how many requests the targets got without reading their bodies."""
    return sum(target.n_unread_bodies for target in fleet.targets)


if __name__ == "__main__":
    unittest.main()
