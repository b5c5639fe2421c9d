"""Test that a graceful shutdown cuts off no request and leaves no token held."""

import asyncio
import json
import signal
import unittest
from dataclasses import dataclass, field
from unittest import mock

import aiohttp

from standins.launcher import RunningProcess, poll_until
from tests.answers import CallerAnswer
from tests.common import SECRET, Fleet
from trefoilstage.host import Host
from trefoilstage.settings import HostSettings

SLOW_ENGINE_OPTIONS = ("--tokens-per-s", "20")
EXIT_TIMEOUT_S = 15.0
UNFINISHED = {"Content-Length": "9"}  # longer than the body that is sent
UNFINISHED_HEAD = (
    "POST /v1/chat/completions HTTP/1.1\r\nHost: brest\r\n"
    f"Authorization: Bearer {SECRET}\r\nContent-Length: 2\r\n\r\n"
).encode()
# Of a request that waits for a target, the same with a key, a call, and a body.
LATE_ERRORS = [
    ("shutting_down", "not_run"),
    ("shutting_down", "unknown"),
    ("outcome_unknown", "unknown"),
    ("shutting_down", "not_run"),
]


async def wait_until_settled(fleet: Fleet, host: RunningProcess) -> None:
    """Wait until nothing is held and the spend is what the engines executed."""

    async def is_settled() -> bool:
        budget = await fleet.get_budget(host)
        executed = await fleet.count_executed_tokens()
        whole = budget["free"] + budget["spent"] == budget["paid"]
        settled = budget["held"] == 0 and budget["spent"] == executed
        return bool(whole and settled)

    await poll_until(is_settled, "all draws to be returned")


async def wait_for_exit(fleet: Fleet, host: RunningProcess) -> int:
    """Wait until a host exits and return its exit code."""
    code = await asyncio.wait_for(host.process.wait(), EXIT_TIMEOUT_S)
    fleet.launcher.processes.pop(host.name, None)
    return code


async def stream_and_chat(
    fleet: Fleet, host: RunningProcess
) -> tuple[CallerAnswer, CallerAnswer]:
    """Return a slow stream, and the next answer on its connection."""
    streamed = await fleet.chat(host, max_tokens=80, stream=True)
    return streamed, await fleet.chat(host)


@dataclass(kw_only=True)
class Balancer:
    """Send requests to hosts whose /health is good, and count the results."""

    fleet: Fleet
    hosts: list[RunningProcess]
    n_whole: int = 0
    n_refused: int = 0
    failures: list[str] = field(default_factory=list)
    is_stopped: bool = False
    _n_picks: int = 0

    async def run(self) -> None:
        """Send one request after another until `is_stopped` is set."""
        while not self.is_stopped:
            host = await self._pick()
            try:
                answer = await self.fleet.chat(host, max_tokens=8, stream=True)
            except aiohttp.ClientConnectorError:
                continue
            except aiohttp.ClientError as error:
                self.failures.append(f"{host.name}: {error!r}")
                continue
            self._count_answer(host, answer)

    async def _pick(self) -> RunningProcess:
        while True:
            self._n_picks += 1
            host = self.hosts[self._n_picks % len(self.hosts)]
            try:
                async with self.fleet.launcher.session.get(
                    f"{host.caller_url}/health"
                ) as response:
                    if response.status == 200:
                        return host
            except aiohttp.ClientError:
                pass
            await asyncio.sleep(0)

    def _count_answer(self, host: RunningProcess, answer: CallerAnswer) -> None:
        if answer.status == 200 and answer.is_complete_stream:
            self.n_whole += 1
            return
        error = json.loads(answer.body).get("error", {}) if answer.status != 200 else {}
        if error.get("effect") == "not_run" and "Retry-After" in answer.headers:
            self.n_refused += 1
            return
        self.failures.append(f"{host.name}: {answer.status} {answer.body[-200:]!r}")


class ShutdownTest(unittest.IsolatedAsyncioTestCase):
    """Stop hosts that have requests or draws."""

    async def test_two_signals_cut_no_slow_stream(self) -> None:
        """Send SIGTERM twice to a host during slow streams.

        Every stream is sent up to its end marker. A request that still reaches the
        host is refused with a Retry-After, and its connection is closed; on the
        connection of a stream that has just ended it is refused as well. The host
        exits with 0 and its draws are returned to the budget.
        """
        settings = {"flush_timeout_s": 0.5, "drain_grace_s": 8.0}
        async with Fleet(
            engine_options=SLOW_ENGINE_OPTIONS, host_settings=settings
        ) as fleet:
            host, other = fleet.hosts[:2]
            streams = [
                asyncio.create_task(stream_and_chat(fleet, host)) for _ in range(8)
            ]

            reader, writer = await asyncio.open_connection(
                host.address, host.ports["caller_port"]
            )
            writer.write(UNFINISHED_HEAD + b"{")

            async def are_running() -> bool:
                meter = await fleet.launcher.get_json(f"{fleet.engines[0].url}/meter")
                status = await fleet.launcher.get_json(f"{host.operator_url}/status")
                is_body_awaited = status["n_active"] == len(streams) + 1
                return is_body_awaited and int(meter["running"]) == len(streams)

            await poll_until(are_running, "the streams to run")
            host.send_signal(signal.SIGTERM)

            async def is_leaving() -> bool:
                url = f"{host.caller_url}/health"
                async with fleet.launcher.session.get(url) as response:
                    return response.status == 503

            await poll_until(is_leaving, "/health to report the shutdown")
            refused = await fleet.chat(host)
            self.assertEqual(refused.status, 503)
            error = json.loads(refused.body)["error"]
            self.assertEqual(error["reason"], "shutting_down")
            self.assertEqual(error["effect"], "not_run")
            self.assertIn("Retry-After", refused.headers)
            self.assertEqual(refused.headers.get("Connection"), "close")
            writer.write(b"}")
            self.assertIn(b" 503 ", await reader.readline())
            writer.close()
            host.send_signal(signal.SIGTERM)
            answers = await asyncio.gather(*streams)
            self.assertTrue(all(answer.is_complete_stream for answer, _ in answers))
            self.assertTrue(all(following.status == 503 for _, following in answers))
            self.assertEqual(await wait_for_exit(fleet, host), 0)
            await wait_until_settled(fleet, other)

    async def test_requests_that_outlast_the_drain_get_an_answer(self) -> None:
        """Guard against connections that are closed without an answer or an error."""
        options = (*SLOW_ENGINE_OPTIONS, "--max-running", "2")
        settings = {"drain_timeout_s": 0.5, "flush_timeout_s": 2, "queue_wait_s": 30}
        async with Fleet(
            n_hosts=2, host_settings=settings, engine_options=options
        ) as fleet:
            (host, other), key = fleet.hosts, {"Idempotency-Key": "briefing-7"}
            await fleet.control_standin(fleet.service, delay_s=60)
            whole = asyncio.create_task(fleet.chat(host, max_tokens=901))
            stream = asyncio.create_task(fleet.chat(host, max_tokens=900, stream=True))

            async def are_running() -> bool:
                return len(await fleet.list_executed_requests()) == 2

            await poll_until(are_running, "the chats to run")
            others = asyncio.gather(
                fleet.chat(host),
                fleet.chat(host, headers=key),
                fleet.book(host, "night-3"),
                fleet.call(host, "/v1/chat/completions", "", headers=UNFINISHED),
            )

            async def are_read() -> bool:
                status = await fleet.launcher.get_json(f"{host.operator_url}/status")
                return bool(status["n_active"] == 6 and await fleet.list_effects())

            await poll_until(are_read, "the requests to be read")
            joined = asyncio.create_task(fleet.chat(other, headers=key))
            host.send_signal(signal.SIGTERM)
            self.assertEqual([answer.error for answer in await others], LATE_ERRORS)
            self.assertEqual((await whole).error, ("shutting_down", "unknown"))
            self.assertEqual((await stream).stream_error["effect"], "unknown")
            self.assertEqual((await joined).status, 200)
            self.assertEqual(await wait_for_exit(fleet, host), 0)
            repeated = await fleet.book(other, "night-3")
            self.assertEqual(repeated.error, ("outcome_unknown", "unknown"))
            self.assertEqual(len(await fleet.list_effects()), 1)
            await wait_until_settled(fleet, other)

    async def test_stop_without_a_drain_answers_all_requests(self) -> None:
        """Guard against connections that a host closes unanswered after a crash."""
        async with Fleet(n_hosts=1, engine_options=SLOW_ENGINE_OPTIONS) as fleet:
            settings = HostSettings(
                host="host-1", data_center="brest", log_url=fleet.log.url
            )
            stopped = Host(settings=settings)
            await stopped.start()
            await stopped.wait_until_ready()
            announced = stopped.blackboard.config.hosts["host-1"]
            host = mock.Mock(caller_url=announced.caller_url)
            await asyncio.gather(fleet.chat(host), fleet.chat(host))
            chat = asyncio.create_task(fleet.chat(host, max_tokens=900))
            await poll_until(lambda: stopped.blackboard.n_active == 1, "the chat")
            _, late = await asyncio.gather(stopped.stop(), fleet.chat(host))
            self.assertEqual((await chat).error[0], "shutting_down")
            self.assertEqual(late.error, ("shutting_down", "not_run"))
            self.assertEqual(late.headers.get("Connection"), "close")

    async def test_rolling_replacement_under_load(self) -> None:
        """Replace all hosts, one after another, while callers send requests.

        Callers choose hosts whose /health is good, as the load balancer does. Each
        answer is complete, or a "not run" refusal with a Retry-After; none is cut
        off. When the last old host has exited, no tokens are held.
        """
        settings = {"drain_grace_s": 0.3}
        async with Fleet(
            engine_options=SLOW_ENGINE_OPTIONS, host_settings=settings
        ) as fleet:
            balancer = Balancer(fleet=fleet, hosts=list(fleet.hosts))
            callers = [asyncio.create_task(balancer.run()) for _ in range(6)]
            names = [f"host-{number + 3}" for number in range(3)]
            new = await asyncio.gather(*map(fleet.start_host, names))
            balancer.hosts += new
            for old in fleet.hosts:
                before = balancer.n_whole
                await poll_until(
                    lambda seen=before: balancer.n_whole > seen + 5, "more answers"
                )
                old.send_signal(signal.SIGTERM)
                self.assertEqual(await wait_for_exit(fleet, old), 0)
                balancer.hosts.remove(old)
            balancer.is_stopped = True
            await asyncio.gather(*callers)
            self.assertEqual(balancer.failures, [])
            self.assertGreater(balancer.n_whole, 20)
            await wait_until_settled(fleet, balancer.hosts[0])

    async def test_drain_while_the_log_is_down_is_bounded(self) -> None:
        """Stop a host that has draws while the log is down.

        The host can't return its draws, so it logs that and still exits with 0. When
        the log is back, the draws' witnesses release the rest. An operator whose
        change is in progress is told that its verdict is not known.
        """
        settings = {"flush_timeout_s": 1.0, "log_timeout_s": 0.5}
        async with Fleet(host_settings=settings) as fleet:
            host, other = fleet.hosts[:2]
            answer = await fleet.chat(host, max_tokens=8, stream=True)
            self.assertTrue(answer.is_complete_stream)
            control = f"{fleet.log.url}/control"
            await fleet.launcher.post_json(control, {"down": True})
            change = asyncio.create_task(fleet.publish("20-late.toml", ""))
            host.send_signal(signal.SIGTERM)
            self.assertEqual(await wait_for_exit(fleet, host), 0)
            incomplete_lines = [
                line for line in host.lines if "drain_incomplete" in line
            ]
            self.assertEqual(len(incomplete_lines), 1, host.lines[-5:])
            self.assertFalse((await change)["known"])
            await fleet.launcher.post_json(control, {"down": False})

            async def is_released() -> bool:
                budget = await fleet.get_budget(other)
                return bool(budget["held"] == budget["doubtful"])

            await poll_until(is_released, "the draws to be released")
            budget = await fleet.get_budget(other)
            self.assertGreaterEqual(
                budget["spent"] + budget["doubtful"],
                await fleet.count_executed_tokens(),
            )


class CrashTest(unittest.IsolatedAsyncioTestCase):
    """Test a host that fails during startup."""

    async def test_host_that_cannot_listen_ends_with_an_error(self) -> None:
        """Start a host on a port that is in use.

        The process must exit with a non-zero code and log the reason, so that its
        supervisor can restart it; it must not keep running partially started.
        """
        async with Fleet(n_hosts=1, n_engines=0) as fleet:
            taken = fleet.hosts[0].ports["caller_port"]
            launcher = fleet.launcher
            start = asyncio.create_task(
                launcher.start_host(
                    "host-9",
                    "brest",
                    log_url=fleet.log.url,
                    address=fleet.hosts[0].address,
                    caller_port=taken,
                )
            )
            await poll_until(lambda: "host-9" in launcher.processes, "the start")
            host = launcher.processes["host-9"]
            code = await asyncio.wait_for(host.process.wait(), EXIT_TIMEOUT_S)
            start.cancel()
            self.assertEqual(code, 1)
            self.assertIn("address already in use", " ".join(host.lines))
