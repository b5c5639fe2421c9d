"""Test that requests refused as "not run" were not run, and that refusals are typed."""

import asyncio
import itertools
import json
import signal
import time
import unittest
from collections.abc import AsyncIterator, Awaitable, Callable
from dataclasses import dataclass

from standins.launcher import RunningProcess, poll_until
from tests.answers import CallerAnswer
from tests.common import OTHER_SECRET, SECRET, Fleet
from trefoilstage.util.hashing import hash_idempotency_key

CHAT = "/v1/chat/completions"
BOOKING = "/services/booking/confirm"
DEADLINE_S = 30.0
TOO_LARGE_BYTES = 1_100_000
VALID_CHAT = {"model": "assistant", "messages": [{"role": "user", "content": "?"}]}


@dataclass(frozen=True, kw_only=True)
class BadRequest:
    """Describe one invalid request and its expected refusal."""

    status: int
    reason: str
    body: object = b""
    path: str = CHAT
    method: str = "POST"
    headers: tuple[tuple[str, str], ...] = ()
    bearer: str | None = f"Bearer {SECRET}"


def make_chat(**changes: object) -> bytes:
    """Return a valid chat request's body with some fields changed."""
    return json.dumps({**VALID_CHAT, **changes}).encode()


def make_headers(name: str, value: str) -> tuple[tuple[str, str], ...]:
    """Return headers with one entry."""
    return ((name, value),)


async def send_chunks() -> AsyncIterator[bytes]:
    """Yield a body that is too large, so that it is sent without a length."""
    for _ in range(TOO_LARGE_BYTES // 10_000):
        yield b" " * 10_000


DEADLINE_HEADER = "X-Deadline-Ms"
KEY_HEADER = "Idempotency-Key"
LONE_SURROGATE_BODY = (
    rb'{"model":"assistant","messages":[{"role":"user","content":"\ud800"}]}'
)
KEY_NUMBERS = itertools.count()
BAD_REQUESTS = [
    BadRequest(status=400, reason="bad_request", body=b"{"),
    BadRequest(status=400, reason="bad_request", body=b""),
    BadRequest(status=400, reason="bad_request", body=b"\xff\xfe"),
    BadRequest(status=400, reason="bad_request", body=b"[" * 100_000),
    BadRequest(status=400, reason="bad_request", body=LONE_SURROGATE_BODY),
    BadRequest(status=400, reason="bad_request", body=make_chat(messages=3)),
    BadRequest(status=400, reason="bad_request", body=make_chat(messages=[])),
    BadRequest(status=400, reason="bad_request", body=make_chat(max_tokens="5")),
    BadRequest(status=400, reason="bad_request", body=make_chat(max_tokens=-1)),
    BadRequest(status=400, reason="bad_request", body=make_chat(n=2)),
    BadRequest(status=404, reason="unknown_model", body=make_chat(model="other")),
    BadRequest(status=413, reason="body_too_large", body=b" " * TOO_LARGE_BYTES),
    BadRequest(status=413, reason="body_too_large", body=send_chunks),
    BadRequest(status=401, reason="unauthorized", body=make_chat(), bearer=None),
    BadRequest(status=401, reason="unauthorized", body=make_chat(), bearer="Bearer no"),
    BadRequest(status=401, reason="unauthorized", body=make_chat(), bearer=SECRET),
    BadRequest(status=401, reason="unauthorized", body=make_chat(), bearer="Bearer é"),
    BadRequest(
        status=400,
        reason="bad_request",
        body=make_chat(),
        headers=make_headers("X-Priority", "high"),
    ),
    BadRequest(
        status=400,
        reason="bad_request",
        body=make_chat(),
        headers=make_headers(DEADLINE_HEADER, "-1"),
    ),
    BadRequest(
        status=429,
        reason="deadline",
        body=make_chat(),
        headers=make_headers(DEADLINE_HEADER, "0"),
    ),
    BadRequest(status=400, reason="bad_request", headers=make_headers(KEY_HEADER, "")),
    BadRequest(
        status=400, reason="bad_request", headers=make_headers(KEY_HEADER, "k" * 201)
    ),
    BadRequest(status=400, reason="bad_request", headers=make_headers(KEY_HEADER, "é")),
    BadRequest(
        status=400, reason="bad_request", headers=((KEY_HEADER, "a"), (KEY_HEADER, "b"))
    ),
    BadRequest(status=405, reason="method_not_allowed", method="GET"),
    BadRequest(status=404, reason="unknown_path", path="/v2/chat", method="PATCH"),
    BadRequest(status=404, reason="unknown_service", path="/services/other/confirm"),
    BadRequest(status=404, reason="unknown_service", path="/services/booking/other"),
    BadRequest(status=405, reason="method_not_allowed", path=BOOKING, method="PUT"),
    BadRequest(status=400, reason="key_required", path=BOOKING, body=b"{}"),
]


class RefusalTest(unittest.IsolatedAsyncioTestCase):
    """Send invalid requests, and valid ones under faults."""

    async def test_bad_requests(self) -> None:
        """Send every kind of invalid request to one host, then a valid one.

        Each invalid request gets its own typed refusal, with nothing run and nothing
        spent, and never a traceback. The bearer keys appear in no log line, state dump
        or answer.
        """
        async with Fleet(n_hosts=1) as fleet:
            host = fleet.hosts[0]
            for case in BAD_REQUESTS:
                with self.subTest(
                    reason=case.reason, path=case.path, case=str(case)[:200]
                ):
                    answer = await send(fleet, host, case)
                    self.assertEqual(answer.status, case.status, answer.body)
                    self.assertEqual(answer.error, (case.reason, "not_run"))
                    self.assertNotIn(SECRET.encode(), answer.body)
            await self._send_garbage(host)
            self.assertEqual(await fleet.list_executed_requests(), [])
            self.assertEqual(await fleet.list_effects(), [])
            good = await fleet.chat(host, secret=OTHER_SECRET)
            self.assertEqual(good.status, 200, good.body)
            await fleet.wait_for_spend(0)
            await self._check_no_secrets_shown(fleet, host)

    async def _send_garbage(self, host: RunningProcess) -> None:
        reader, writer = await asyncio.open_connection(
            host.address, host.ports["caller_port"]
        )
        writer.write(b"\x00\x01 nonsense\r\n\r\n")
        answer = await reader.read()
        writer.close()
        self.assertIn(b" 400 ", answer.split(b"\r\n")[0])
        self.assertNotIn(b"Traceback", answer)

    async def _check_no_secrets_shown(self, fleet: Fleet, host: RunningProcess) -> None:
        host.send_signal(signal.SIGUSR1)
        await poll_until(
            lambda: any(line.startswith('{"') for line in host.lines), "the dump"
        )
        async with fleet.launcher.session.get(f"{host.operator_url}/state") as state:
            output = "\n".join([*host.lines, await state.text()])
        self.assertNotIn("Traceback", output)
        for secret in (SECRET, OTHER_SECRET):
            self.assertNotIn(secret, output)

    async def test_key_with_another_body(self) -> None:
        """Reuse a key with another body, at every host, and for a booking.

        The other body is refused at every host, with nothing run. Whitespace, the
        order of the body's fields and streaming don't make it another request.
        """
        async with Fleet() as fleet:
            headers = {KEY_HEADER: "briefing-7"}
            first = await fleet.chat(fleet.hosts[0], headers=headers)
            for host in fleet.hosts:
                other = await fleet.chat(host, headers=headers, text="Another?")
                self.assertEqual(other.status, 422, other.body)
                self.assertEqual(other.error, ("key_reused", "not_run"))
                same = await fleet.chat(host, headers=headers, stream=True)
                self.assertEqual(same.text, first.text)
            self.assertEqual(len(await fleet.list_executed_requests()), 1)
            await fleet.wait_for_spend(first.json["usage"]["total_tokens"])

            await fleet.call(
                fleet.hosts[0], BOOKING, {"strip": 7, "hour": 1}, headers=headers
            )
            same = await fleet.call(
                fleet.hosts[1], BOOKING, {"hour": 1, "strip": 7}, headers=headers
            )
            self.assertEqual(same.status, 200, same.body)
            other = await fleet.call(
                fleet.hosts[2], BOOKING, {"strip": 8}, headers=headers
            )
            self.assertEqual(other.error, ("key_reused", "not_run"))
            self.assertEqual(len(await fleet.list_effects()), 1)

    async def test_lookup_on_several_servers(self) -> None:
        """Lose the answer of a lookup, with a second server that is up or down.

        A call that may be repeated is sent to the next server, and the caller gets
        its answer. When no other server can be reached, the first may still have
        run the call: the caller gets the effect "unknown", never "not run".
        """
        async with Fleet(n_hosts=1) as fleet:
            host = fleet.hosts[0]
            port = fleet.proxies["service"].port
            urls = [f"http://{name}:{port}" for name in ("127.0.0.1", "localhost")]
            await publish_lookups(fleet, "two", urls)
            await publish_lookups(fleet, "one", [urls[0], "http://127.0.0.1:1"])
            for number in range(4):
                headers = {KEY_HEADER: f"lookup-{number}"}
                await fleet.control_standin(fleet.service, lose_answers=1)
                answer = await fleet.call(
                    host, "/services/two/get", {}, headers=headers
                )
                self.assertEqual(answer.status, 200, answer.body)
                await fleet.control_standin(fleet.service, lose_answers=1)
                answer = await fleet.call(
                    host, "/services/one/get", {}, headers=headers
                )
                self.assertEqual(answer.error[1], "unknown", answer.body)
            self.assertEqual(len(await fleet.list_effects()), 12)

    async def test_not_run_under_faults(self) -> None:
        """Guard against "not run" for requests that ran, under six faults.

        Engines fail before or after the prompt or are cut off, peers are cut off, the
        log is down, a host drains. During each fault every host gets chat requests and
        bookings. A request refused as "not run" must be in no meter; every refusal has
        a Retry-After and comes within half of the deadline.
        """
        async with Fleet(n_engines=2) as fleet:
            for fault in (
                fail_engines,
                fail_engines_midway,
                cut_engines,
                cut_peers,
                stop_log,
                drain_host,
            ):
                await fault(fleet)
                with self.subTest(fault=fault.__name__):
                    n_refused = await self._count_refused(fleet, fault.__name__)
                    if fault is not cut_peers:
                        self.assertGreater(n_refused, 0)
                if fault is not drain_host:
                    await clear_faults(fleet)

    async def _count_refused(self, fleet: Fleet, name: str) -> int:
        calls = [
            self._is_refused(fleet, host, f"{name}-{number}", books=books)
            for host in fleet.hosts
            for number in range(4)
            for books in (False, True)
        ]
        return sum(await asyncio.gather(*calls))

    async def _is_refused(
        self, fleet: Fleet, host: RunningProcess, key: str, *, books: bool
    ) -> bool:
        key = f"{key}-{host.name}"
        started = time.monotonic()
        headers = {DEADLINE_HEADER: str(int(DEADLINE_S * 1000))}
        if books:
            answer = await fleet.book(host, key)
        else:
            answer = await fleet.chat(host, headers=headers)
        if answer.status == 200:
            return False
        self.assertLess(time.monotonic() - started, DEADLINE_S / 2, answer.body)
        self.assertIn("Retry-After", answer.headers, answer.body)
        if answer.error[1] == "not_run":
            request = answer.json["error"]["request_id"]
            executed = [run["request"] for run in await fleet.list_executed_requests()]
            self.assertNotIn(request or "-", executed)
            effects = [effect["key"] for effect in await fleet.list_effects()]
            digest = hash_idempotency_key("brest-school", key)
            if books:
                self.assertNotIn(digest, effects)
        return True


Fault = Callable[[Fleet], Awaitable[None]]


async def fail_engines(fleet: Fleet) -> None:
    """Let the engines answer every request with status 500 without running it."""
    for engine in fleet.engines:
        await fleet.control_standin(engine, fail_fast=True)


async def fail_engines_midway(fleet: Fleet) -> None:
    """Let the engines process each prompt and then answer with status 500."""
    for engine in fleet.engines:
        await fleet.control_standin(engine, fail_after_prompt=True)


async def cut_engines(fleet: Fleet) -> None:
    """Close the engines' connections and refuse new ones."""
    for engine in fleet.engines:
        await fleet.proxies[engine.name].stop()


async def cut_peers(fleet: Fleet) -> None:
    """Cut the first host from its peers."""
    fleet.cut_network_between(fleet.hosts[:1], fleet.hosts[1:])


async def stop_log(fleet: Fleet) -> None:
    """Stop the log and wait until all hosts have noticed."""
    await fleet.control_standin(fleet.log, down=True)

    async def is_noticed() -> bool:
        for host in fleet.hosts:
            state = await fleet.launcher.get_json(f"{host.operator_url}/state")
            streams = state["blackboard"]["streams"].values()
            if any(stream["reachable"] for stream in streams):
                return False
        return True

    await poll_until(is_noticed, "the hosts to detect the outage")


async def drain_host(fleet: Fleet) -> None:
    """Start to drain one host, which a slow answer keeps running."""
    await fleet.control_standin(fleet.engines[0], tokens_per_s=5)
    await fleet.control_standin(fleet.engines[1], tokens_per_s=5)
    n_before = len(await fleet.list_executed_requests())
    slow = asyncio.create_task(fleet.chat(fleet.hosts[2], max_tokens=100))
    slow.add_done_callback(lambda task: task.cancelled() or task.exception())

    async def is_running() -> bool:
        return len(await fleet.list_executed_requests()) > n_before

    await poll_until(is_running, "the slow answer")
    host = fleet.hosts[2]
    host.send_signal(signal.SIGTERM)
    await poll_until(
        lambda: any("host_draining" in line for line in host.lines), "the drain"
    )


async def clear_faults(fleet: Fleet) -> None:
    """Remove all faults and wait until all hosts answer."""
    fleet.heal()
    await fleet.control_standin(fleet.log)
    for engine in fleet.engines:
        await fleet.control_standin(engine)
        if not fleet.proxies[engine.name].is_listening:
            await fleet.proxies[engine.name].start()

    async def is_mended() -> bool:
        answers = [
            answer
            for host in fleet.hosts
            for answer in (await fleet.chat(host), await fleet.book(host, make_key()))
        ]
        return all(answer.status == 200 for answer in answers)

    # Hosts send nothing to failed engines for some time; without this wait, the next
    # fault would affect no request.
    await poll_until(is_mended, "all hosts to answer")


async def publish_lookups(fleet: Fleet, name: str, urls: list[str]) -> None:
    """Publish a service with one repeatable call, and wait until the host has it."""
    lines = [
        f"[services.{name}]",
        f"urls = {json.dumps(urls)}",
        f'[services.{name}.operations.get]\npath = "/get"\nidempotent = true',
    ]
    await fleet.publish(f"20-{name}.toml", "\n".join(lines) + "\n")

    async def is_known() -> bool:
        answer = await fleet.call(
            fleet.hosts[0], f"/services/{name}/other", {}, method="GET"
        )
        state = await fleet.launcher.get_json(f"{fleet.hosts[0].operator_url}/state")
        services = state["blackboard"]["config"]["configuration"]["services"]
        return answer.status == 404 and name in services

    await poll_until(is_known, "the service to be known")


def make_key() -> str:
    """Return an unused idempotency key."""
    return f"key-{next(KEY_NUMBERS)}"


async def send(fleet: Fleet, host: RunningProcess, case: BadRequest) -> CallerAnswer:
    """Send an invalid request and read the whole answer."""
    body = case.body() if callable(case.body) else case.body
    headers = list(case.headers)
    if case.bearer is not None:
        headers.append(("Authorization", case.bearer))
    async with fleet.launcher.session.request(
        case.method, f"{host.caller_url}{case.path}", data=body, headers=headers
    ) as response:
        return CallerAnswer(
            status=response.status,
            body=await response.read(),
            headers=dict(response.headers),
        )
