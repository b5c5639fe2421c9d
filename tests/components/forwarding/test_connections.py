"""Test which connections to targets are reused."""

import asyncio
import contextlib
import socket
import unittest
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from unittest import mock

from tests.components.boards import make_board
from tests.components.forwarding.common import make_target
from trefoilstage.components.forwarding import sender
from trefoilstage.components.forwarding.answers import InvalidAnswer, NotRun, OpenAnswer
from trefoilstage.components.forwarding.connections import (
    limit_idle_connections,
    open_socket,
    parse_idle_time,
)
from trefoilstage.components.forwarding.models import CallerRequest
from trefoilstage.components.forwarding.sender import TargetSender, open_target_session
from trefoilstage.components.forwarding.translator import ForwardOptions
from trefoilstage.platform.headers import HeaderTranslator

LOOPBACK = "127.0.0.1"
# Targets may fall silent for a second or so and go on.
SOUND_SILENCE_S = 1.5
MAX_DEAD_S = 5.0
OPTIONS = ForwardOptions(workspace="school", deadline_s=5.0)
Serve = Callable[["ScriptedTarget", str, asyncio.StreamWriter], Awaitable[None]]


def make_request(name: str, body: bytes = b"") -> tuple[CallerRequest, bytes]:
    """Return a caller's request and its body."""
    request = CallerRequest(
        request_id=name,
        method="POST",
        host="club.example",
        path="/x/",
        raw_target="/x/",
        key="key",
        deadline_s=5.0,
        n_prompt_tokens=0,
        max_output_tokens=0,
        prompt=(),
        headers=(("Attempt-Id", name),),
    )
    return request, body


def make_answer(name: str, *, keep: str = "timeout=5", body: str = "whole") -> bytes:
    """Return a target's answer to a request."""
    return (
        f"HTTP/1.1 200 OK\r\nAttempt-Id: {name}\r\nResponse-Seal: s\r\n"
        f"Keep-Alive: {keep}\r\nContent-Length: {len(body)}\r\n\r\n{body}"
    ).encode()


class ScriptedTarget:
    """Serve requests with a given function, and count connections."""

    def __init__(self, serve: Serve) -> None:
        self._serve = serve
        self.n_connections = 0
        self.requests: list[str] = []
        self.idle_bytes = asyncio.Event()

    async def __aenter__(self) -> "ScriptedTarget":
        self._server = await asyncio.start_server(self._serve_connection, LOOPBACK, 0)
        port = self._server.sockets[0].getsockname()[1]
        self.entry = make_target("i-1", address=f"{LOOPBACK}:{port}")
        self._session = open_target_session(LOOPBACK, make_board("host-0", ["host-0"]))
        self.sender = TargetSender(session=self._session, translator=HeaderTranslator())
        return self

    async def __aexit__(self, *error: object) -> None:
        await self._session.close()
        self._server.close()

    def stop_listening(self) -> None:
        """Close the listening port."""
        self._server.close()

    async def _serve_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.n_connections += 1
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                name = head.partition("Attempt-Id: ")[2].partition("\r\n")[0]
                self.requests.append(name)
                await self._serve(self, name, writer)
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()

    async def send(self, name: str) -> bytes | InvalidAnswer | NotRun:
        """Send a request; return the complete body, or why there is none."""
        request, body = make_request(name)
        answer = await self.sender.send(request, body, self.entry, OPTIONS)
        if not isinstance(answer, OpenAnswer):
            return answer
        data = b"".join([part async for part in answer.read()])
        answer.close()
        return data


class ReusedConnectionTest(unittest.IsolatedAsyncioTestCase):
    """Test consecutive requests to one target."""

    async def test_complete_answers_share_a_connection(self) -> None:
        """Send three requests; all use the same connection."""

        async def serve(
            target: ScriptedTarget, name: str, writer: asyncio.StreamWriter
        ) -> None:
            writer.write(make_answer(name))

        async with ScriptedTarget(serve) as target:
            for number in range(3):
                self.assertEqual(await target.send(f"r-{number}"), b"whole")
            self.assertEqual(target.n_connections, 1)

    async def test_duplicate_answer_makes_the_connection_unusable(self) -> None:
        """Send two answers in one write; the second must not reach the next caller."""

        async def serve(
            target: ScriptedTarget, name: str, writer: asyncio.StreamWriter
        ) -> None:
            writer.write(make_answer(name) + make_answer(name, body="again"))

        async with ScriptedTarget(serve) as target:
            for number in range(3):
                self.assertEqual(await target.send(f"r-{number}"), b"whole")
            self.assertEqual(target.n_connections, 3)

    async def test_bytes_on_an_idle_connection_make_it_unusable(self) -> None:
        """Send unsolicited bytes between two requests.

        The HTTP library would parse them as the start of the next answer.
        """

        async def serve(
            target: ScriptedTarget, name: str, writer: asyncio.StreamWriter
        ) -> None:
            writer.write(make_answer(name))
            await asyncio.sleep(0.01)
            writer.write(b"HTT")
            await writer.drain()
            target.idle_bytes.set()

        async with ScriptedTarget(serve) as target:
            self.assertEqual(await target.send("r-0"), b"whole")
            await target.idle_bytes.wait()
            await asyncio.sleep(0.01)
            self.assertEqual(await target.send("r-1"), b"whole")
            self.assertEqual(target.n_connections, 2)

    async def test_bytes_without_end_on_an_idle_connection_close_it(self) -> None:
        """Guard against connections that go on receiving while nobody waits."""

        async def serve(
            target: ScriptedTarget, name: str, writer: asyncio.StreamWriter
        ) -> None:
            writer.write(make_answer(name))
            await asyncio.sleep(0.05)
            while not writer.transport.is_closing():
                writer.write(make_answer("late"))
                await asyncio.sleep(0.01)
            target.idle_bytes.set()

        async with ScriptedTarget(serve) as target:
            self.assertEqual(await target.send("r-0"), b"whole")
            async with asyncio.timeout(2.0):
                await target.idle_bytes.wait()

    async def test_answer_that_follows_an_interim_answer_is_whole(self) -> None:
        """Guard against interim answers that are taken for the end of an answer."""

        async def serve(
            target: ScriptedTarget, name: str, writer: asyncio.StreamWriter
        ) -> None:
            for _ in range(2):
                writer.write(b"HTTP/1.1 100 Continue\r\n\r\n")
                await asyncio.sleep(0.02)
            writer.write(make_answer(name))

        async with ScriptedTarget(serve) as target:
            for number in range(2):
                self.assertEqual(await target.send(f"r-{number}"), b"whole")
            self.assertEqual(target.n_connections, 1)

    async def test_short_events_in_chunks_are_read_whole(self) -> None:
        """Guard against a stream of many short events that is taken for overhead."""
        event = b"id: 1\ndata: 1\n\n"

        async def serve(
            target: ScriptedTarget, name: str, writer: asyncio.StreamWriter
        ) -> None:
            head = f"Attempt-Id: {name}\r\nResponse-Seal: s"
            writer.write(f"HTTP/1.1 200 OK\r\n{head}\r\n".encode())
            writer.write(b"Transfer-Encoding: chunked\r\n\r\n")
            writer.write(b"%x\r\n%s\r\n" % (len(event), event) * 50_000)
            writer.write(b"0\r\n\r\n")

        async with ScriptedTarget(serve) as target:
            self.assertEqual(await target.send("r-0"), event * 50_000)

    async def test_late_duplicate_answer_reaches_no_other_caller(self) -> None:
        """Send a duplicate answer only after the next request has arrived.

        The next caller must not get the duplicate. Its own answer follows on the same
        connection, which must not be reused, so that the third request succeeds.
        """
        late: list[bytes] = []

        async def serve(
            target: ScriptedTarget, name: str, writer: asyncio.StreamWriter
        ) -> None:
            writer.write(b"".join(late) + make_answer(name))
            late[:] = [make_answer(name)] if name == "r-0" else []

        async with ScriptedTarget(serve) as target:
            self.assertEqual(await target.send("r-0"), b"whole")
            self.assertIsInstance(await target.send("r-1"), InvalidAnswer)
            self.assertEqual(await target.send("r-2"), b"whole")
            self.assertEqual(target.n_connections, 2)

    async def test_answer_after_a_mismatched_one_reaches_no_caller(self) -> None:
        """Answer a request with the answer to another one, then with its own.

        The first answer is complete and would return the connection to the pool. The
        next request on this connection would get the second answer.
        """
        late: list[asyncio.Task[None]] = []

        async def answer_late(name: str, writer: asyncio.StreamWriter) -> None:
            await asyncio.sleep(0.03)
            writer.write(make_answer(name))

        async def serve(
            target: ScriptedTarget, name: str, writer: asyncio.StreamWriter
        ) -> None:
            if name == "r-1":
                writer.write(make_answer("r-0"))
                late.append(asyncio.create_task(answer_late(name, writer)))
                return
            await asyncio.gather(*late)
            writer.write(make_answer(name))

        async with ScriptedTarget(serve) as target:
            self.assertEqual(await target.send("r-0"), b"whole")
            self.assertIsInstance(await target.send("r-1"), InvalidAnswer)
            self.assertEqual(await target.send("r-2"), b"whole")

    async def test_request_on_a_closed_connection_may_have_run(self) -> None:
        """Close a reused connection after a request, without an answer.

        The target may have run the request. It must not count as not run, and the
        HTTP library must not resend it automatically.
        """

        async def serve(
            target: ScriptedTarget, name: str, writer: asyncio.StreamWriter
        ) -> None:
            if name == "r-1":
                writer.close()
                return
            writer.write(make_answer(name))

        async with ScriptedTarget(serve) as target:
            await target.send("r-0")
            self.assertIsInstance(await target.send("r-1"), InvalidAnswer)
            self.assertEqual(target.requests.count("r-1"), 1)

    async def test_connection_without_keep_alive_time_is_not_reused(self) -> None:
        """State a keep-alive timeout of 0 s; the next request opens a connection."""

        async def serve(
            target: ScriptedTarget, name: str, writer: asyncio.StreamWriter
        ) -> None:
            writer.write(make_answer(name, keep="timeout=0"))

        async with ScriptedTarget(serve) as target:
            for number in range(2):
                self.assertEqual(await target.send(f"r-{number}"), b"whole")
            self.assertEqual(target.n_connections, 2)

    async def test_closed_port_is_unreachable(self) -> None:
        """Send to a closed port; the request has certainly not run."""

        async def serve(
            target: ScriptedTarget, name: str, writer: asyncio.StreamWriter
        ) -> None:
            writer.write(make_answer(name))

        async with ScriptedTarget(serve) as target:
            target.stop_listening()
            answer = await target.send("r-0")
            assert isinstance(answer, NotRun)
            self.assertTrue(answer.unreachable)
            self.assertFalse(answer.timed_out)

    async def test_idle_connections_are_limited(self) -> None:
        """Send four concurrent requests twice; one idle connection is reused."""

        async def serve(
            target: ScriptedTarget, name: str, writer: asyncio.StreamWriter
        ) -> None:
            await asyncio.sleep(0.02)
            writer.write(make_answer(name))

        async with ScriptedTarget(serve) as target:
            for _ in range(2):
                await asyncio.gather(*(target.send(f"r-{n}") for n in range(4)))
            self.assertEqual(target.n_connections, 7)


class IdleTest(unittest.TestCase):
    """Test the time and number limits of idle connections."""

    def test_idle_time_stays_below_the_targets_timeout(self) -> None:
        """Stop using an idle connection before the target closes it."""
        for header, seconds in (
            ("timeout=5", 4.3),
            ("5, max=9", 4.3),
            ("timeout=0", 0),
        ):
            idle_s = parse_idle_time({"Keep-Alive": header})
            self.assertAlmostEqual(idle_s, seconds)
        self.assertLess(parse_idle_time({}), 1.0)
        self.assertEqual(parse_idle_time({"Keep-Alive": "timeout=900"}), 15.0)

    def test_idle_connections_leave_room_for_requests(self) -> None:
        """Share the lowest connection limit; each host may keep at least one."""
        self.assertEqual(limit_idle_connections([370, 110], 9), 3)
        self.assertLessEqual(9 * limit_idle_connections([370, 110], 9), 110 // 3)
        self.assertEqual(limit_idle_connections([110], 400), 1)
        self.assertEqual(limit_idle_connections([], 9), 1)


class SendFailedTest(unittest.IsolatedAsyncioTestCase):
    """Test what a failed send says about the connection that it used."""

    async def test_line_tells_a_refused_connection_from_a_broken_one(self) -> None:
        """Guard against failed sends whose log doesn't show the connection used."""

        async def serve(
            target: ScriptedTarget, name: str, writer: asyncio.StreamWriter
        ) -> None:
            if name == "r-1":
                writer.close()
            else:
                writer.write(make_answer(name))

        async with ScriptedTarget(serve) as target:
            with mock.patch.object(sender, "log_event") as log:
                self.assertEqual(await target.send("r-0"), b"whole")
                log.assert_not_called()
                self.assertIsInstance(await target.send("r-1"), InvalidAnswer)
                fields = log.call_args.kwargs
                self.assertEqual((fields["connection"], fields["sent"]), ("kept", True))
                target.stop_listening()
                self.assertIsInstance(await target.send("r-2"), NotRun)
                fields = log.call_args.kwargs
                self.assertEqual((fields["connection"], fields["sent"]), ("new", False))


@dataclass(frozen=True, kw_only=True, slots=True)
class KeepAliveOptions:
    """Describe when Linux gives up a connection without data in flight, in seconds."""

    idle_s: float
    interval_s: float
    user_timeout_s: float

    def find_end(self, silent_from: float, silent_until: float) -> float | None:
        """Return when a connection that last received at 0 is given up, if it is."""
        last_received, now, n_unanswered = 0.0, self.idle_s, 0
        while now < silent_until + self.idle_s:
            if n_unanswered and now - last_received >= self.user_timeout_s:
                return now
            if silent_from <= now < silent_until:
                n_unanswered += 1
            else:
                last_received, n_unanswered = now, 0
            now += self.interval_s
        return None


def read_options() -> KeepAliveOptions:
    """Return the options of the sockets that are connected to targets."""
    address = (socket.AF_INET, socket.SOCK_STREAM, 0, "", ("", 0))
    with contextlib.closing(open_socket(address)) as opened:

        def read(option: int) -> int:
            return opened.getsockopt(socket.IPPROTO_TCP, option)

        return KeepAliveOptions(
            idle_s=read(socket.TCP_KEEPIDLE),
            interval_s=read(socket.TCP_KEEPINTVL),
            user_timeout_s=read(socket.TCP_USER_TIMEOUT) / 1000,
        )


class SilentTargetTest(unittest.TestCase):
    """Test when connections to targets that fall silent are given up.

    A user timeout decides whatever the number of probes.
    """

    def test_target_that_goes_on_after_a_silence_keeps_its_connections(self) -> None:
        """Guard against requests that end as their sound target was silent."""
        options = read_options()
        for step in range(100):
            silent_from = step * 0.05
            with self.subTest(silent_from=silent_from):
                end = options.find_end(silent_from, silent_from + SOUND_SILENCE_S)
                self.assertIsNone(end)

    def test_dead_path_is_given_up(self) -> None:
        """Guard against requests that wait at a path that is gone."""
        end = read_options().find_end(0.0, 60.0)
        self.assertLessEqual(end or 60.0, MAX_DEAD_S)


if __name__ == "__main__":
    unittest.main()
