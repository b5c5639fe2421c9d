"""Run the command line for operators as a process against a small fleet."""

import asyncio
import json
import os
import sys
import tempfile
import unittest
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from standins.launcher import poll_until
from standins.proxy import FaultProxy
from tests.common import SECRET, Fleet
from trefoilstage.cli.output import ExitCode

ENTRY_POINT = "from trefoilstage.cli.main import main; main()"
TIMEOUT_S = 40.0
DEAD_URL = "http://127.0.0.1:9"
SUBCOMMANDS = (
    "config check",
    "config publish",
    "config remove",
    "config show",
    "config history",
    "budget show",
    "budget top-up",
    "target list",
    "target leave",
    "target return",
    "host list",
    "host state",
    "host drain",
    "host declare-lost",
    "request send",
    "request call",
    "key hash",
    "log tail",
)


@dataclass(frozen=True, kw_only=True, slots=True)
class CommandResult:
    """Describe the output and the exit code of a command."""

    code: int
    out: str
    err: str


async def run_command(
    *arguments: str, stdin: str = "", **environment: str
) -> CommandResult:
    """Run one command until it exits."""
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-c",
        ENTRY_POINT,
        *arguments,
        stdin=asyncio.subprocess.PIPE,
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.PIPE,
        env={**os.environ, "USER": "operator-a", "COLUMNS": "200", **environment},
    )
    out, err = await asyncio.wait_for(process.communicate(stdin.encode()), TIMEOUT_S)
    return CommandResult(
        code=process.returncode or 0, out=out.decode(), err=err.decode()
    )


class CommandTest(unittest.IsolatedAsyncioTestCase):
    """Test commands that need no fleet."""

    async def test_each_subcommand_has_examples(self) -> None:
        results = await asyncio.gather(
            *(
                run_command(*subcommand.split(), "--help")
                for subcommand in SUBCOMMANDS[:6]
            ),
        )
        for batch in (SUBCOMMANDS[6:12], SUBCOMMANDS[12:]):
            results += await asyncio.gather(
                *(run_command(*subcommand.split(), "--help") for subcommand in batch)
            )
        for subcommand, result in zip(SUBCOMMANDS, results, strict=True):
            self.assertEqual(result.code, ExitCode.OK, subcommand)
            self.assertIn(f"trefoilstage {subcommand}", result.out.split("Example")[1])

    async def test_config_check_reports_all_findings(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder)
            (path / "10-a.toml").write_text("[budgets.x]\ntokens = -1\nsize = 3\n")
            (path / "20-b.toml").write_text('[workspaces.w]\nbudget = "X!"\n')
            result = await run_command("config", "check", folder)
            self.assertEqual(result.code, ExitCode.REJECTED, result.err)
            for line in (
                "10-a.toml:2: budgets.x.tokens: ",
                "10-a.toml:3: budgets.x.size: ",
                "20-b.toml:2: workspaces.w.budget: ",
            ):
                self.assertIn(line, result.err)
            found = json.loads(
                (await run_command("config", "check", folder, "--json")).out
            )
            self.assertEqual([item["line"] for item in found], [2, 3, 2])

    async def test_unreachable_host_and_wrong_usage_set_exit_code(self) -> None:
        result = await run_command("budget", "show", "--host", DEAD_URL)
        self.assertEqual(result.code, ExitCode.UNREACHABLE, result.err)
        result = await run_command("budget", "show", TREFOILSTAGE_HOST=" ")
        self.assertEqual(result.code, ExitCode.USAGE, result.err)
        result = await run_command("budget", "top-up", "x", "0", "--host", DEAD_URL)
        self.assertEqual(result.code, ExitCode.USAGE, result.err)
        self.assertNotIn("Traceback", result.err)

    async def test_key_is_created_and_hashed(self) -> None:
        created = await run_command("key", "hash", "--new")
        hashed = await run_command("key", "hash", stdin=created.out)
        self.assertEqual(hashed.out, created.err)
        self.assertRegex(hashed.out, r"^[0-9a-f]{64}\n$")


class FleetCommandTest(unittest.IsolatedAsyncioTestCase):
    """Test commands against the hosts of a running fleet."""

    async def test_configuration_is_published_checked_and_removed(self) -> None:
        async with Fleet(n_hosts=2) as fleet:
            env = {"TREFOILSTAGE_HOST": fleet.hosts[0].operator_url}
            with tempfile.TemporaryDirectory() as folder:
                path = Path(folder) / "50-more.toml"
                path.write_text("[budgets.more]\ntokens = 10\n")
                publish_arguments = ("config", "publish", folder, "--wait-all")
                result = await run_command(
                    *publish_arguments, "--operation", "ticket-17", **env
                )
                self.assertEqual(result.code, ExitCode.OK, result.err)
                self.assertIn("in force on 2 hosts", result.err)
                shown = await run_command("config", "show", "--json", **env)
                files = {item["name"]: item for item in json.loads(shown.out)}
                revision = files[path.name]["revision"]
                self.assertEqual(files[path.name]["author"], "operator-a")

                path.write_text("[budgets.more]\ntokens = 20\n")
                result = await run_command(*publish_arguments, **env)
                self.assertEqual(result.code, ExitCode.USAGE)
                self.assertIn(f"--base {revision}", result.err)
                self.assertIn("+tokens = 20", result.err)
                result = await run_command(
                    *publish_arguments, "--operation", "ticket-17", **env
                )
                self.assertEqual(
                    result.code,
                    ExitCode.OK,
                    "a repeat of an accepted operation is accepted",
                )
                result = await run_command(
                    *publish_arguments, "--base", str(revision), **env
                )
                self.assertEqual(result.code, ExitCode.OK, result.err)

                path.write_text("[budgets.more]\ntokens = 30\n")
                result = await run_command(
                    *publish_arguments, "--base", str(revision), **env
                )
                self.assertEqual(result.code, ExitCode.REJECTED)
                self.assertIn("conflict", result.err)
                self.assertIn("-tokens = 20", result.err)
            result = await run_command("config", "remove", "50-more.toml", **env)
            self.assertEqual(result.code, ExitCode.OK, result.err)
            result = await run_command("config", "remove", "10-base.toml", **env)
            self.assertEqual(result.code, ExitCode.OK, result.err)
            history = await run_command("config", "history", "--last", "4", **env)
            self.assertEqual(len(history.out.splitlines()), 4)

    async def test_concurrent_publishes_accept_one_and_report_conflict(self) -> None:
        """Publish different contents of one file through two hosts at the same time.

        Both commands read the files in force before either change is in the log, so
        both use the same base revision. The log orders the changes: the first one is
        accepted, and the second one must be reported as a conflict with the file that
        is now in force, and must not overwrite it.
        """
        async with Fleet(n_hosts=2) as fleet:
            with tempfile.TemporaryDirectory() as folder:
                commands = []
                for number, host in enumerate(fleet.hosts):
                    path = Path(folder) / str(number) / "50-race.toml"
                    path.parent.mkdir()
                    path.write_text(f"[budgets.race]\ntokens = {number + 1}\n")
                    commands.append(
                        run_command(
                            "config",
                            "publish",
                            str(path),
                            TREFOILSTAGE_HOST=host.operator_url,
                        )
                    )
                results = await asyncio.gather(*commands)
            codes = [result.code for result in results]
            self.assertEqual(codes.count(ExitCode.OK), 1, results)
            rejected = results[1 - codes.index(ExitCode.OK)]
            self.assertIn("50-race.toml is in force at revision", rejected.err)
            accepted_index = codes.index(ExitCode.OK)
            state = await fleet.launcher.get_json(
                f"{fleet.hosts[accepted_index].operator_url}/config/files"
            )
            content = {item["name"]: item["content"] for item in state}
            self.assertIn(f"tokens = {accepted_index + 1}\n", content["50-race.toml"])

    async def test_top_up_with_lost_answer_is_applied_once(self) -> None:
        """Lose the answer to a top-up after the top-up took effect.

        The command has the addresses of two hosts. The first host appends the top-up to
        the log, but its answer is lost, so the command sends the same operation to the
        second host. The fold recognizes the operation: the budget must be raised only
        once, and the command must report that the top-up was accepted.
        """
        async with Fleet(n_hosts=2) as fleet:
            first, second = fleet.hosts
            proxy = FaultProxy(upstream_port=first.ports["operator_port"])
            proxy.upstream_address = first.address
            await proxy.start()
            try:
                proxy.rules["127.0.0.1"].lose_answers = 1
                hosts = f"{proxy.url},{second.operator_url}"
                result = await run_command(
                    "budget", "top-up", "brest", "500", "--host", hosts
                )
            finally:
                await proxy.stop()
            self.assertEqual(result.code, ExitCode.OK, result.err)
            self.assertEqual(proxy.rules["127.0.0.1"].lose_answers, 0)

            async def get_paid_amounts() -> Any:
                return [(await fleet.get_budget(host))["paid"] for host in fleet.hosts]

            async def is_raised_on_both() -> bool:
                return bool(await get_paid_amounts() == [fleet.tokens + 500] * 2)

            await poll_until(is_raised_on_both, "the top-up on both hosts", timeout_s=5)

    async def test_targets_hosts_requests_and_log_are_shown(self) -> None:
        async with Fleet(n_hosts=2, n_engines=2) as fleet:
            env = {
                "TREFOILSTAGE_HOST": f"{DEAD_URL},{fleet.hosts[0].operator_url}",
                "TREFOILSTAGE_URL": f"{DEAD_URL},{fleet.hosts[0].caller_url}",
                "TREFOILSTAGE_KEY": SECRET,
                "TREFOILSTAGE_LOG": fleet.log.url,
            }
            sent = await run_command(
                "request", "send", "hello", "--max-tokens", "5", **env
            )
            self.assertEqual(sent.code, ExitCode.OK, sent.err)
            self.assertEqual(len(sent.out.split()), 5)
            self.assertIn("complete, 7 tokens", sent.err)
            refused = await run_command(
                "request", "send", "x", "--model", "none", **env
            )
            self.assertEqual(refused.code, ExitCode.REJECTED)
            self.assertIn("refused (not_run), unknown_model", refused.err)
            called = await run_command(
                "request", "call", "booking", "confirm", "{}", **env
            )
            self.assertEqual(json.loads(called.out)["confirmation"], 1)

            left = await run_command("target", "leave", "engine-1", "--wait-all", **env)
            self.assertEqual(left.code, ExitCode.OK, left.err)
            listed = await run_command("target", "list", "--json", **env)
            states = {item["name"]: item["state"] for item in json.loads(listed.out)}
            self.assertEqual(states, {"engine-0": "serving", "engine-1": "leaving"})
            returned = await run_command("target", "return", "engine-1", **env)
            self.assertEqual(returned.code, ExitCode.OK, returned.err)

            shown = await run_command("host", "state", "host-1", **env)
            self.assertRegex(shown.out, r"phase +serving\n")
            full = await run_command("host", "state", "host-1", "--full", **env)
            self.assertIn("blackboard", json.loads(full.out))
            tail = await run_command("log", "tail", "ledger-0", **env)
            self.assertRegex(tail.out, r"(?m)^\d+ kind=draw incarnation=host-0-")
            drained = await run_command("host", "drain", "host-1", **env)
            self.assertEqual(drained.code, ExitCode.OK, drained.err)
            await asyncio.wait_for(fleet.hosts[1].process.wait(), TIMEOUT_S)
            declared = await run_command(
                "host", "declare-lost", "host-0", "--json", **env
            )
            answers = {item["host"]: item["hosts"] for item in json.loads(declared.out)}
            self.assertEqual(answers["host-0"], ["host-0"])
            unknown = await run_command("host", "declare-lost", "host-9", **env)
            self.assertEqual(unknown.code, ExitCode.REJECTED, unknown.err)
            for result in (sent, refused, called, full, tail):
                self.assertNotIn(SECRET, result.out + result.err)
