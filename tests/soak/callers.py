"""Call hosts as callers do, on connections that are kept, and remember the answers."""

import asyncio
import random
from dataclasses import dataclass, field

import aiohttp

from standins.platform import LOOPBACK
from tests.promises.crashing import CRASHING_BODY
from tests.promises.fleet import PlatformFleet

# Longer than the 5 s that the hosts are told.
CALL_TIMEOUT_S = 7.0
PAUSE_S = 0.02
# Each subject has a target of its own, so that all targets get prompts.
N_SUBJECTS = 12
STREAM_TOKENS = (100, 10)
PATHS = ("/stream/x", "/stream-again/x", "/book/x", "/look/x")


@dataclass(kw_only=True, slots=True)
class Outcome:
    """Hold what became of one request, as its caller saw it."""

    request: str
    path: str
    status: int = 0  # 0 if no answer came
    sent: bytes = b""
    body: bytes = b""
    whole: bool = False
    answered_request: str = ""

    @property
    def n_events(self) -> int:
        """Return the events that reached the caller."""
        return self.body.count(b"\n\n")


@dataclass(kw_only=True, slots=True)
class Callers:
    """Send requests of all kinds to all hosts until told to stop."""

    fleet: PlatformFleet
    generator: random.Random
    outcomes: list[Outcome] = field(default_factory=list)
    crashing: list[Outcome] = field(default_factory=list)
    stopping: bool = False

    async def run(self, number: int) -> None:
        """Send one request after the other on kept connections."""
        n_sent = 0
        async with aiohttp.ClientSession() as session:
            while not self.stopping:
                n_sent += 1
                outcome = Outcome(
                    request=f"caller-{number}-{n_sent}",
                    path=self.generator.choice(PATHS),
                )
                self.outcomes.append(outcome)
                await self._call(session, outcome)
                await asyncio.sleep(PAUSE_S)

    async def repeat_crashing(self) -> None:
        """Send the request that crashes targets again and again."""
        while not self.stopping:
            await self.send_crashing()
            await asyncio.sleep(self.generator.uniform(0.1, 1.0))

    async def send_crashing(self) -> None:
        """Send the request that crashes targets once, to any host."""
        number = len(self.crashing)
        outcome = Outcome(
            request=f"crashing-{number}", path="/stream/x", sent=CRASHING_BODY
        )
        self.crashing.append(outcome)
        async with aiohttp.ClientSession() as session:
            await self._call(session, outcome)

    async def _call(self, session: aiohttp.ClientSession, outcome: Outcome) -> None:
        hosts = sorted(self.fleet.hosts)
        if not hosts:
            return
        host = self.fleet.hosts[self.generator.choice(hosts)]
        tokens = STREAM_TOKENS if outcome.path.startswith("/stream") else (0, 0)
        own = outcome.request.replace("caller-", "")
        headers = {
            "Host": "club.example",
            "Attempt-Id": outcome.request,
            "Deadline-Ms": "5000",
            "Key": "key",
            "Token-Count": f"{tokens[0]},{tokens[1]}",
            "Prompt-Prefix": f"{self.generator.randrange(N_SUBJECTS):x}:50,{own}:50",
        }
        method = "GET" if outcome.path.startswith("/look") else "POST"
        url = f"http://{LOOPBACK}:{host.caller_port}{outcome.path}"
        timeout = aiohttp.ClientTimeout(total=CALL_TIMEOUT_S)
        try:
            async with session.request(
                method, url, headers=headers, timeout=timeout, data=outcome.sent
            ) as response:
                outcome.status = response.status
                outcome.answered_request = response.headers.get("Attempt-Id", "")
                async for data in response.content.iter_any():
                    outcome.body += data
                outcome.whole = True
        except (aiohttp.ClientError, TimeoutError):
            # The host is gone or its answer broke off; `status` and `whole` say so.
            return
