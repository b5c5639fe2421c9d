"""Demo of a small fleet: requests, the loss of a host, a retry, the accounts."""

import asyncio
import contextlib
import signal
import sys
import time
from dataclasses import dataclass

import aiohttp

from standins.demo_fleet import (
    END_OF_STREAM,
    HTTP_OK,
    MAX_TOKENS,
    DemoError,
    DemoFleet,
    expect,
    print_step,
)
from standins.launcher import Launcher, LaunchError, poll_until

LOST_HOST = "brest-2"
RETRY_HOST = "quimper-1"
N_BRIEFINGS = 8
CHUNKS_BEFORE_LOSS = 8
RETRY_LIMIT_S = 20.0
EXIT_FAILED = 1
EXIT_INTERRUPTED = 130


@dataclass(kw_only=True, slots=True)
class Demo:
    """Run the demo's steps as a caller, and check and print the result of each."""

    fleet: DemoFleet

    async def run(self) -> None:
        """Run all steps in order; raise DemoError at the first failed check."""
        await self.fleet.start()
        await self.fleet.publish_example()
        await self._send_briefings()
        await self._book_twice()
        await self._retry_after_host_loss()
        await self._check_accounts()

    async def _send_briefings(self) -> None:
        hosts = list(self.fleet.hosts.values())
        answers = await asyncio.gather(
            *(
                self.fleet.chat(hosts[number % len(hosts)], f"briefing-{number}")
                for number in range(N_BRIEFINGS)
            )
        )
        for answer in answers:
            expect(
                answer.is_complete_stream,
                f"incomplete stream: {answer.status} {answer.body!r}",
            )
        print_step(
            "briefings", f"{N_BRIEFINGS} streamed at {len(hosts)} hosts, all whole"
        )

    async def _book_twice(self) -> None:
        first, *_, last = self.fleet.hosts.values()
        answers = [await self.fleet.book(host, "strip-7") for host in (first, last)]
        statuses = [answer.status for answer in answers]
        expect(statuses == [HTTP_OK, HTTP_OK], f"booking statuses {statuses}")
        bodies = {answer.body for answer in answers}
        expect(len(bodies) == 1, f"two confirmations: {bodies!r}")
        meter = await self.fleet.launcher.get_json(f"{self.fleet.service.url}/meter")
        effects = len(meter["effects"])
        expect(effects == 1, f"the booking service shows {effects} effects")
        print_step("booking", f"same key at {first.name} and {last.name}: one effect")

    async def _retry_after_host_loss(self) -> None:
        key = "briefing-of-the-day"
        n_seen = await self._break_stream(key)
        print_step(
            "host lost", f"{LOST_HOST} killed after {n_seen} of {MAX_TOKENS} chunks"
        )
        host = self.fleet.hosts[RETRY_HOST]
        started = time.monotonic()
        answer = await self.fleet.chat(host, key)
        while answer.retry_after_s and time.monotonic() - started < RETRY_LIMIT_S:
            await asyncio.sleep(answer.retry_after_s)
            answer = await self.fleet.chat(host, key)
        expect(answer.is_complete_stream, f"retry: {answer.status} {answer.body!r}")
        waited_s = time.monotonic() - started
        print_step("retry", f"same key at {host.name}: whole after {waited_s:.1f} s")

    async def _break_stream(self, key: str) -> int:
        """Kill a host in the middle of an answer; return the number of chunks read."""
        n_seen = 0
        body = b""
        with contextlib.suppress(aiohttp.ClientError, OSError):
            async with self.fleet.post_chat(
                self.fleet.hosts[LOST_HOST], key
            ) as response:
                self.fleet.record_run(key, response)
                async for line in response.content:
                    body += line
                    n_seen += line.startswith(b"data: {")
                    if n_seen == CHUNKS_BEFORE_LOSS and LOST_HOST in self.fleet.hosts:
                        await self.fleet.launcher.kill(LOST_HOST)
                        del self.fleet.hosts[LOST_HOST]
        expect(LOST_HOST not in self.fleet.hosts, f"no stream to break: {body!r}")
        expect(not body.endswith(END_OF_STREAM), "the broken stream looks whole")
        return n_seen

    async def _check_accounts(self) -> None:
        await poll_until(
            self._is_lost_host_sealed, "the lost host's draws to be sealed"
        )
        n_tokens = await self.fleet.wait_until_settled()
        n_runs = sum(map(len, self.fleet.request_ids_by_key.values()))
        print_step(
            "billed once",
            f"{n_tokens} tokens spent = the engines' meters by key "
            f"({n_runs} runs of {len(self.fleet.request_ids_by_key)} keys)",
        )
        budget = await self.fleet.get_budget(self.fleet.get_first_host())
        expect(budget is not None, "the budget is gone")
        if budget is not None:
            print_step(
                "budget",
                "paid {paid} = spent {spent} + held {held} + free {free}; "
                "{doubtful} in doubt".format(**budget),
            )

    async def _is_lost_host_sealed(self) -> bool:
        state = await self.fleet.get_json(self.fleet.get_first_host(), "/state")
        lost = f"{LOST_HOST}-"
        return not any(
            draw["status"] == "open" and draw["holder"].startswith(lost)
            for ledger in state["blackboard"]["ledgers"].values()
            for draw in ledger["draws"].values()
        )


async def run_demo() -> int:
    """Run the demo until it ends or a signal arrives, and return the exit code."""
    task = asyncio.current_task()
    loop = asyncio.get_running_loop()
    if task is not None:
        for number in (signal.SIGINT, signal.SIGTERM, signal.SIGHUP):
            loop.add_signal_handler(number, task.cancel)
    started = time.monotonic()
    try:
        async with Launcher() as launcher:
            await Demo(fleet=DemoFleet(launcher=launcher)).run()
    except asyncio.CancelledError:
        print("demo interrupted; its processes are ended", flush=True)
        return EXIT_INTERRUPTED
    except (DemoError, LaunchError, aiohttp.ClientError, ExceptionGroup) as error:
        group = error.exceptions if isinstance(error, ExceptionGroup) else (error,)
        for cause in group:
            print(f"  FAILED: {cause!r}", flush=True)
        return EXIT_FAILED
    print(f"demo passed in {time.monotonic() - started:.1f} s", flush=True)
    return 0


if __name__ == "__main__":
    sys.exit(asyncio.run(run_demo()))
