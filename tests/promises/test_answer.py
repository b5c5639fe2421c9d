"""Test that an answer is complete and the caller's own, or visibly failed."""

import asyncio
import json
import unittest

import aiohttp

from standins.launcher import poll_until
from tests.common import OTHER_SECRET, SECRET, Fleet

KEY_HEADERS = {"Idempotency-Key": "briefing-7"}


class AnswerTest(unittest.IsolatedAsyncioTestCase):
    """Inject faults into targets, hosts and connections during one answer."""

    async def test_target_output_out_of_order_foreign_or_cut(self) -> None:
        """Guard against passing on an engine's faulty output as a good answer.

        The engine swaps two chunks, sends a chunk of another request, resets the
        connection or closes it early. The host detects the first wrong chunk by its
        number or request id, and ends the stream with an error event and without
        the end marker. Without streaming, the request is refused. Only what the
        engine ran is billed.
        """
        async with Fleet(n_hosts=2) as fleet:
            for fault in ("reorder_at", "foreign_at", "break_after", "close_at"):
                await fleet.control_standin(fleet.engines[0], **{fault: 4})
                with self.subTest(fault=fault):
                    streamed = await fleet.chat(fleet.hosts[0], stream=True)
                    self.assertFalse(streamed.is_complete_stream, streamed.body)
                    self.assertEqual(streamed.stream_error["effect"], "unknown")
                    self.assertIn("retry_after_s", streamed.stream_error)
                    whole = await fleet.chat(fleet.hosts[0])
                    self.assertEqual(whole.error, ("target_failed", "unknown"))
                # A good answer after each fault prevents the engine's ejection.
                await fleet.control_standin(fleet.engines[0])
                self.assertEqual((await fleet.chat(fleet.hosts[0])).status, 200)
            await fleet.wait_for_spend(await fleet.count_executed_tokens())

    async def test_retry_joins_the_running_answer(self) -> None:
        """Guard against a second run when a key is retried during its first run.

        One key is sent to the first host, then to all hosts while it is being
        answered. The key's home knows which host runs it, so the other hosts read
        that run. Every caller gets the same text, and the engine runs and bills one
        request. A retry after its end gets the stored answer.
        """
        async with Fleet() as fleet:
            await fleet.control_standin(fleet.engines[0], tokens_per_s=20)
            first = asyncio.create_task(
                fleet.chat(
                    fleet.hosts[0], max_tokens=20, stream=True, headers=KEY_HEADERS
                )
            )
            await poll_until(fleet.list_executed_requests, "the engine to run it")
            joined = await asyncio.gather(
                *(
                    fleet.chat(host, max_tokens=20, stream=stream, headers=KEY_HEADERS)
                    for host in fleet.hosts
                    for stream in (True, False)
                )
            )
            late = await fleet.chat(fleet.hosts[2], max_tokens=20, headers=KEY_HEADERS)
            executed = await fleet.list_executed_requests()
            self.assertEqual(len(executed), 1)
            answers = [await first, *joined, late]
            digests = {answer.text_digest for answer in answers}
            self.assertEqual(digests, {executed[0]["text_digest"]})
            self.assertNotIn("Idempotent-Replayed", (await first).headers)
            self.assertEqual(late.headers["Idempotent-Replayed"], "true")
            dump = await fleet.launcher.get_json(f"{fleet.hosts[0].operator_url}/state")
            self.assertEqual([run["ended"] for run in dump["keys"]["runs"]], [True])
            self.assertNotIn(late.text, json.dumps(dump))
            await fleet.wait_for_spend(await fleet.count_executed_tokens())

    async def test_host_killed_mid_stream(self) -> None:
        """Guard against a mixed or cut answer when the streaming host is killed.

        A caller at another host has joined the stream. The first caller's connection
        breaks without the end marker. The joined caller already has part of the text,
        so its stream ends with an error. A retry finds that the run is lost, replaces
        it, and gets one complete answer.
        """
        async with Fleet() as fleet:
            key = {"Idempotency-Key": fleet.find_key_with_home(fleet.hosts[2])}
            await fleet.control_standin(fleet.engines[0], tokens_per_s=20)
            first = asyncio.create_task(
                fleet.chat(fleet.hosts[0], max_tokens=40, stream=True, headers=key)
            )
            await poll_until(fleet.list_executed_requests, "the engine to run it")
            joined = asyncio.create_task(
                fleet.chat(fleet.hosts[1], max_tokens=40, stream=True, headers=key)
            )
            await poll_until(lambda: has_generated(fleet, 5), "some tokens")
            await fleet.launcher.kill("host-0")
            with self.assertRaises(aiohttp.ClientError):
                await first
            answer = await joined
            if answer.is_complete_stream:
                digests = [
                    run["text_digest"] for run in await fleet.list_executed_requests()
                ]
                self.assertIn(answer.text_digest, digests)
            else:
                self.assertEqual(answer.stream_error["effect"], "unknown")
            await fleet.control_standin(fleet.engines[0])
            retry = await fleet.chat(fleet.hosts[2], max_tokens=40, headers=key)
            self.assertEqual(retry.status, 200, retry.body)
            by_id = {
                run["request"]: run for run in await fleet.list_executed_requests()
            }
            self.assertEqual(retry.text_digest, by_id[retry.json["id"]]["text_digest"])

    async def test_two_workspaces_with_the_same_key(self) -> None:
        """Guard against a key that is shared between workspaces.

        The same key and body are sent for two workspaces to the same hosts. Keys are
        separate per workspace: there are two runs, two answers and two bills.
        """
        async with Fleet(n_hosts=2) as fleet:
            answers = await asyncio.gather(
                *(
                    fleet.chat(host, headers=KEY_HEADERS, secret=secret)
                    for host in fleet.hosts
                    for secret in (SECRET, OTHER_SECRET)
                )
            )
            executed = {
                run["request"]: run for run in await fleet.list_executed_requests()
            }
            self.assertEqual(len(executed), 2)
            workspaces = ["brest-school", "quimper-crew"] * 2
            for answer, workspace in zip(answers, workspaces, strict=True):
                run = executed[answer.json["id"]]
                self.assertEqual(run["workspace"], workspace)
                self.assertEqual(answer.text_digest, run["text_digest"])
            for name in ("brest", "quimper"):
                tokens = answers[0].json["usage"]["total_tokens"]
                await fleet.wait_for_spend(tokens, name=name)

    async def test_connection_reused_after_a_timeout(self) -> None:
        """Guard against bytes of a timed-out answer in a later answer.

        A request exceeds its deadline, then others are sent to the same host. Each
        later answer must equal what the engine generated for it.
        """
        async with Fleet(n_hosts=1) as fleet:
            await fleet.control_standin(fleet.engines[0], tokens_per_s=20)
            late = await fleet.chat(
                fleet.hosts[0], max_tokens=100, headers={"X-Deadline-Ms": "300"}
            )
            self.assertEqual(late.error[1], "unknown")
            await fleet.control_standin(fleet.engines[0])
            for _ in range(5):
                answer = await fleet.chat(fleet.hosts[0])
                executed = {
                    run["request"]: run for run in await fleet.list_executed_requests()
                }
                run = executed[answer.json["id"]]
                self.assertEqual(answer.text_digest, run["text_digest"])
            await fleet.wait_for_spend(await fleet.count_executed_tokens())

    async def test_caller_hangs_up(self) -> None:
        """Disconnect in the middle, with and without streaming, without and with a key.

        Without a key the host cancels the run at the engine immediately. With a key
        the run continues for a short time, so that a retry at another host can join
        it. Only what the engine ran is billed.
        """
        async with Fleet(n_hosts=2) as fleet:
            await fleet.control_standin(fleet.engines[0], tokens_per_s=50)
            for stream in (True, False):
                await self._cancel_running_chat(fleet, stream=stream, headers={})
                await poll_until(
                    lambda: is_request_stopped(fleet), "the engine to stop"
                )
            await self._cancel_running_chat(fleet, stream=True, headers=KEY_HEADERS)
            retry = await fleet.chat(
                fleet.hosts[1], max_tokens=200, headers=KEY_HEADERS
            )
            executed = await fleet.list_executed_requests()
            self.assertEqual(len(executed), 3)
            self.assertEqual(executed[-1]["state"], "finished")
            self.assertEqual(retry.text_digest, executed[-1]["text_digest"])
            await fleet.wait_for_spend(await fleet.count_executed_tokens())

    async def _cancel_running_chat(
        self, fleet: Fleet, *, stream: bool, headers: dict[str, str]
    ) -> None:
        before = len(await fleet.list_executed_requests())
        chat = asyncio.create_task(
            fleet.chat(fleet.hosts[0], max_tokens=200, stream=stream, headers=headers)
        )

        async def is_running() -> bool:
            executed = await fleet.list_executed_requests()
            return len(executed) > before and executed[-1]["completion_tokens"] > 2

        await poll_until(is_running, "the engine to run it")
        chat.cancel()


async def has_generated(fleet: Fleet, n_tokens: int) -> bool:
    """Return whether the last request has generated at least `n_tokens`."""
    executed = await fleet.list_executed_requests()
    return bool(executed[-1]["completion_tokens"] >= n_tokens)


async def is_request_stopped(fleet: Fleet) -> bool:
    """Return whether the engine stopped its last request before the end."""
    executed = await fleet.list_executed_requests()
    return executed[-1]["state"] in ("cancelled", "dropped")
