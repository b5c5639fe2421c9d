"""Test the operators' interface with valid and invalid requests."""

import ast
import asyncio
import json
import re
import signal
import socket
import unittest
from typing import Any

from standins.launcher import poll_until
from tests.common import OTHER_SECRET, ROOT, SECRET, Fleet, read_first_column

ONE_HOST_OPTIONS: dict[str, Any] = {"n_hosts": 1}


class OperatorsTest(unittest.IsolatedAsyncioTestCase):
    """Test responses, verdicts, state dump, log lines and metrics of one host."""

    async def test_invalid_requests_get_typed_errors(self) -> None:
        async with Fleet(**ONE_HOST_OPTIONS) as fleet:
            base = fleet.hosts[0].operator_url
            cases = [
                ("GET", "/nowhere", b"", 404, "unknown_path"),
                ("DELETE", "/status", b"", 405, "method_not_allowed"),
                ("POST", "/config/publish", b"{", 400, "bad_request"),
                ("POST", "/config/publish", b"[1]", 400, "bad_request"),
                ("POST", "/config/remove", b'{"name": "../x"}', 400, "bad_request"),
                ("POST", "/budgets/brest/top-up", b'{"amount": -1}', 400, None),
                ("POST", "/config/publish", b"x" * 1_100_000, 413, "body_too_large"),
            ]
            for method, path, body, status, reason in cases:
                async with fleet.launcher.session.request(
                    method, f"{base}{path}", data=body
                ) as response:
                    answer = await response.json()
                    self.assertEqual(response.status, status, answer)
                    self.assertEqual(answer["reason"], reason or "bad_request")
            lines = "\n".join(fleet.hosts[0].lines)
            self.assertNotIn("Traceback", lines)

    async def test_findings_have_locations_and_are_kept_in_the_history(self) -> None:
        async with Fleet(**ONE_HOST_OPTIONS) as fleet:
            content = '[budgets.brest]\ntokens = -4\n[sites.brest]\ncolour = "red"\n'
            verdict = await fleet.publish("40-wrong.toml", content)
            self.assertFalse(verdict["accepted"])
            locations = [(item["line"], item["key"]) for item in verdict["findings"]]
            expected = [(2, "budgets.brest.tokens"), (4, "sites.brest.colour")]
            self.assertEqual(sorted(locations), expected)
            repeated = await fleet.publish("40-wrong.toml", content)
            self.assertEqual(repeated, verdict)
            history = await fleet.launcher.get_json(
                f"{fleet.hosts[0].operator_url}/config/history"
            )
            self.assertEqual(history[-1]["reason"], "invalid")
            self.assertEqual(len(history[-1]["findings"]), 2)

    async def test_no_log_line_or_dump_contains_keys_or_bodies(self) -> None:
        """Search the log and the state dumps for keys and bodies of callers.

        Chat calls use a valid key, a wrong key and a key in the path; a booking
        has a body. The state is dumped over HTTP and by SIGUSR1. Operators may
        pass logs and dumps on, so neither may contain a key, its digest or text
        of a caller.
        """
        async with Fleet(**ONE_HOST_OPTIONS) as fleet:
            host = fleet.hosts[0]
            text = "private-words"
            await fleet.chat(host, text=text)
            await fleet.chat(host, secret="wrong-bearer-key")
            await fleet.call(host, f"/nowhere/{OTHER_SECRET}", {"a": text})
            headers = {"Idempotency-Key": "strip-7"}
            await fleet.call(
                host, "/services/booking/confirm", {"strip": text}, headers=headers
            )
            dump = await fleet.launcher.get_json(f"{host.operator_url}/state")
            host.send_signal(signal.SIGUSR1)
            await poll_until(
                lambda: any(line.startswith("{") for line in host.lines),
                "the state dump",
            )
            dump_line = next(line for line in host.lines if line.startswith("{"))
            self.assertEqual(list(json.loads(dump_line)), list(dump))
            self.assertEqual(list(dump), sorted(dump))
            output = json.dumps(dump) + "\n".join(host.lines)
            for secret in (SECRET, "wrong-bearer-key", text, "key_sha256"):
                self.assertNotIn(secret, output)
            requests = [line for line in host.lines if "request_" in line]
            self.assertGreaterEqual(len(requests), 3)
            for line in requests:
                self.assertRegex(line, r" request=\S+ .*workspace=\S+")

    async def test_metrics_are_sent_by_statsd(self) -> None:
        names = (
            "requests.active",
            "log.reachable",
            "budgets.free",
            "events.request_done",
        )
        loop = asyncio.get_running_loop()
        receiver = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        receiver.setblocking(False)
        receiver.bind(("127.0.0.1", 0))
        settings = {
            "statsd_address": "127.0.0.1",
            "statsd_port": receiver.getsockname()[1],
        }
        with receiver:
            async with Fleet(**ONE_HOST_OPTIONS, host_settings=settings) as fleet:
                await fleet.chat(fleet.hosts[0])
                seen = ""
                async with asyncio.timeout(15):
                    while any(f".{name}:" not in seen for name in names):
                        seen += (await loop.sock_recv(receiver, 65_536)).decode()
                        seen += "\n"
        sent = set(re.findall(r"(?m)^trefoilstage\.host-0\.([a-z_.]+):", seen))
        sampled = {name for name in sent if not name.startswith("events.")}
        self.assertLessEqual(set(names) - {"events.request_done"}, sampled)
        self.assertEqual(
            sampled - set(read_first_column("OPERATING.md", "Metrics")), set()
        )


class LogLinesTest(unittest.TestCase):
    """Test the source code of every call that writes a log line."""

    def test_request_lines_name_the_workspace_and_quote_no_error(self) -> None:
        log_calls = [
            (path, call)
            for path in (ROOT / "trefoilstage").rglob("*.py")
            for call in ast.walk(ast.parse(path.read_text()))
            if isinstance(call, ast.Call) and ast.unparse(call.func) == "log_event"
        ]
        self.assertGreater(len(log_calls), 20)
        for path, call in log_calls:
            names = {keyword.arg for keyword in call.keywords}
            with self.subTest(f"{path.name}:{call.lineno}"):
                if "request" in names:
                    self.assertIn("workspace", names)
                # The text of an unexpected error may quote a key or a body.
                self.assertNotIn("repr(", ast.unparse(call))
