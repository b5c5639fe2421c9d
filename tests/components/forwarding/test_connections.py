"""Test which connections to targets serve another request."""

import asyncio
import unittest
from collections.abc import Awaitable, Callable

from tests.components.boards import make_board
from tests.components.forwarding.common import make_target
from trefoilstage.components.forwarding.border import ForwardOptions
from trefoilstage.components.forwarding.connections import (
    limit_idle_connections,
    parse_idle_time,
)
from trefoilstage.components.forwarding.models import CallerRequest
from trefoilstage.components.forwarding.sender import (
    Broken,
    NotSent,
    OpenAnswer,
    TargetSender,
    open_target_session,
)
from trefoilstage.platform.headers import HeaderBorder

LOOPBACK = "127.0.0.1"
OPTIONS = ForwardOptions(workspace="school", deadline_s=5.0)
Serve = Callable[["ScriptedTarget", str, asyncio.StreamWriter], Awaitable[None]]


def make_request(name: str, body: bytes = b"") -> tuple[CallerRequest, bytes]:
    """Return a caller's request with its body."""
    request = CallerRequest(
        request=name,
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
    """Serve requests by a script, and count connections."""

    def __init__(self, serve: Serve) -> None:
        self._serve = serve
        self.n_connections = 0
        self.requests: list[str] = []
        self.idle_bytes = asyncio.Event()

    async def __aenter__(self) -> "ScriptedTarget":
        self._server = await asyncio.start_server(self._take, LOOPBACK, 0)
        port = self._server.sockets[0].getsockname()[1]
        self.entry = make_target("i-1", address=f"{LOOPBACK}:{port}")
        self._session = open_target_session(LOOPBACK, make_board("host-0", ["host-0"]))
        self.sender = TargetSender(session=self._session, border=HeaderBorder())
        return self

    async def __aexit__(self, *error: object) -> None:
        await self._session.close()
        self._server.close()

    def stop_listening(self) -> None:
        """Close the port."""
        self._server.close()

    async def _take(
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

    async def send(self, name: str) -> bytes | Broken | NotSent:
        """Send a request; return the whole body, or why there is none."""
        request, body = make_request(name)
        answer = await self.sender.send(request, body, self.entry, OPTIONS)
        if not isinstance(answer, OpenAnswer):
            return answer
        data = b"".join([part async for part in answer.read()])
        answer.close()
        return data


class KeptConnectionTest(unittest.IsolatedAsyncioTestCase):
    """Test requests that follow each other to one target."""

    async def test_whole_answers_share_a_connection(self) -> None:
        """Send three requests one after the other."""

        async def serve(
            target: ScriptedTarget, name: str, writer: asyncio.StreamWriter
        ) -> None:
            writer.write(make_answer(name))

        async with ScriptedTarget(serve) as target:
            for number in range(3):
                self.assertEqual(await target.send(f"r-{number}"), b"whole")
            self.assertEqual(target.n_connections, 1)

    async def test_second_answer_at_once_spoils_the_connection(self) -> None:
        """Answer twice in one go; the next caller would get the second answer."""

        async def serve(
            target: ScriptedTarget, name: str, writer: asyncio.StreamWriter
        ) -> None:
            writer.write(make_answer(name) + make_answer(name, body="again"))

        async with ScriptedTarget(serve) as target:
            for number in range(3):
                self.assertEqual(await target.send(f"r-{number}"), b"whole")
            self.assertEqual(target.n_connections, 3)

    async def test_bytes_on_an_idle_connection_spoil_it(self) -> None:
        """Send bytes that are no answer between two requests.

        The library would keep them and read the next answer behind them.
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

    async def test_late_second_answer_reaches_no_other_caller(self) -> None:
        """Hold a second answer back until the next request is there.

        The next caller must not get it. Its own answer comes behind it, on a
        connection that is not used again, so that the one after is served.
        """
        late: list[bytes] = []

        async def serve(
            target: ScriptedTarget, name: str, writer: asyncio.StreamWriter
        ) -> None:
            writer.write(b"".join(late) + make_answer(name))
            late[:] = [make_answer(name)] if name == "r-0" else []

        async with ScriptedTarget(serve) as target:
            self.assertEqual(await target.send("r-0"), b"whole")
            self.assertIsInstance(await target.send("r-1"), Broken)
            self.assertEqual(await target.send("r-2"), b"whole")
            self.assertEqual(target.n_connections, 2)

    async def test_own_answer_behind_a_foreign_one_reaches_nobody(self) -> None:
        """Answer a request with another's answer, and with its own a moment later.

        The first looks whole and would give the connection back; the next request
        on it would get the second one's answer.
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
            self.assertIsInstance(await target.send("r-1"), Broken)
            self.assertEqual(await target.send("r-2"), b"whole")

    async def test_connection_closed_under_a_request_is_no_proof(self) -> None:
        """Close a kept connection upon a request, before a word of an answer.

        The target may have run the request, so it must not count as not sent, and
        the HTTP library must not send it again by itself.
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
            self.assertIsInstance(await target.send("r-1"), Broken)
            self.assertEqual(target.requests.count("r-1"), 1)

    async def test_connection_that_the_target_closes_soon_is_not_used(self) -> None:
        """Answer with no time to keep the connection, then send another request."""

        async def serve(
            target: ScriptedTarget, name: str, writer: asyncio.StreamWriter
        ) -> None:
            writer.write(make_answer(name, keep="timeout=0"))

        async with ScriptedTarget(serve) as target:
            for number in range(2):
                self.assertEqual(await target.send(f"r-{number}"), b"whole")
            self.assertEqual(target.n_connections, 2)

    async def test_closed_port_is_unreachable(self) -> None:
        """Send to a target that has ended; the request has certainly not run."""

        async def serve(
            target: ScriptedTarget, name: str, writer: asyncio.StreamWriter
        ) -> None:
            writer.write(make_answer(name))

        async with ScriptedTarget(serve) as target:
            target.stop_listening()
            answer = await target.send("r-0")
            assert isinstance(answer, NotSent)
            self.assertTrue(answer.unreachable)
            self.assertFalse(answer.silent)

    async def test_idle_connections_are_few(self) -> None:
        """Send four requests at once, then four more; one connection was kept."""

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
    """Test how long and how many connections are kept."""

    def test_targets_time_is_kept_to(self) -> None:
        """Leave a connection before its target closes it."""
        for text, seconds in (("timeout=5", 4.3), ("5, max=9", 4.3), ("timeout=0", 0)):
            found = parse_idle_time({"Keep-Alive": text})
            self.assertAlmostEqual(found, seconds)
        self.assertLess(parse_idle_time({}), 1.0)
        self.assertEqual(parse_idle_time({"Keep-Alive": "timeout=900"}), 15.0)

    def test_all_hosts_leave_room_for_work(self) -> None:
        """Share what the scarcest target takes; each host keeps one at least."""
        self.assertEqual(limit_idle_connections([370, 110], 9), 3)
        self.assertLessEqual(9 * limit_idle_connections([370, 110], 9), 110 // 3)
        self.assertEqual(limit_idle_connections([110], 400), 1)
        self.assertEqual(limit_idle_connections([], 9), 1)


if __name__ == "__main__":
    unittest.main()
