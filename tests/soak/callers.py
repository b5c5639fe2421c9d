"""Callers that send requests on persistent connections and record the answers."""

import asyncio
import random
import re
import time
from dataclasses import dataclass, field

import aiohttp

from standins.platform import LOOPBACK
from tests.promises.crashing import CRASHING_BODY, CRASHING_PART
from tests.promises.fleet import HostProcess, PlatformFleet

DEADLINE_MS = 5_000
# Longer than the deadline.
CALL_TIMEOUT_S = 7.0
CALL_INTERVAL_S = 0.02
# Prompts of different subjects go to different targets, so all targets get some.
N_SUBJECTS = 12
N_SURGE_CALLERS = 40
SURGE_KEY = "surge-key"
SURGE_PATHS = ("/stream/x", "/book/x")
PROMPT_AND_OUTPUT_TOKENS = (100, 10)
RESUMABLE_PATH = "/stream-again/x"
VERSION_PATTERN = re.compile("^version: (.*)$", re.MULTILINE)
PATHS = ("/stream/x", RESUMABLE_PATH, "/book/x", "/look/x")


@dataclass(kw_only=True, slots=True)
class Outcome:
    """Describe one request and its answer, as its caller received it."""

    request: str
    path: str
    host: HostProcess | None = None
    key: str = "key"
    status: int = 0  # 0 if there was no answer
    began_at: float = 0.0  # by the steady clock
    ended_at: float = 0.0
    sent: bytes = b""
    crashing_parts: str = ""  # of the prompt, before its last part
    body: bytes = b""
    is_whole: bool = False
    answered_request: str = ""
    resumes: str = ""  # the request whose stream the caller takes up
    last_event_id: int = 0  # of that stream, so far

    @property
    def stream(self) -> str:
        """Return the request that brought the first event of the stream."""
        return self.resumes or self.request

    @property
    def versions(self) -> set[str]:
        """Return the versions of the targets that wrote the events."""
        return set(VERSION_PATTERN.findall(self.body.decode()))

    @property
    def n_events(self) -> int:
        """Return the number of events that reached the caller."""
        return self.body.count(b"\n\n")


@dataclass(kw_only=True, slots=True)
class Callers:
    """Send requests of all kinds to all hosts until `is_stopping` is set."""

    fleet: PlatformFleet
    generator: random.Random
    outcomes: list[Outcome] = field(default_factory=list)
    crashing_outcomes: list[Outcome] = field(default_factory=list)
    is_stopping: bool = False
    look_method: str = "GET"
    n_subjects: int = N_SUBJECTS
    subject_tokens: int = 50
    prompt_tokens: int = PROMPT_AND_OUTPUT_TOKENS[0]

    async def run(self, number: int) -> None:
        """Send one request after another on persistent connections."""
        n_sent = 0
        async with aiohttp.ClientSession() as session:
            while not self.is_stopping:
                n_sent += 1
                outcome = Outcome(
                    request=f"caller-{number}-{n_sent}",
                    path=self.generator.choice(PATHS),
                )
                self.outcomes.append(outcome)
                await self._call(session, outcome)
                await asyncio.sleep(CALL_INTERVAL_S)
                if outcome.path == RESUMABLE_PATH and not outcome.is_whole:
                    await self._take_up(session, outcome)

    async def _take_up(self, session: aiohttp.ClientSession, broken: Outcome) -> None:
        """Ask any host for the rest of a stream that broke."""
        n_events = broken.n_events
        if n_events == 0:
            return
        outcome = Outcome(
            request=f"{broken.request}-again",
            path=broken.path,
            resumes=broken.request,
            last_event_id=n_events,
        )
        self.outcomes.append(outcome)
        await self._call(session, outcome)

    async def repeat_crashing(self) -> None:
        """Send requests that crash targets repeatedly."""
        while not self.is_stopping:
            send = self.generator.choice((self.send_crashing, self.send_crashing_part))
            await send()
            await asyncio.sleep(self.generator.uniform(0.1, 1.0))

    async def send_crashing(self) -> None:
        """Send the request that crashes targets once, to a random host."""
        await self._send_crashing(CRASHING_BODY, "")

    async def send_crashing_part(self) -> None:
        """Send a request unlike all others with the part that crashes targets."""
        subject = self._sample_subject()
        parts = [f"{CRASHING_PART}:50,{subject}", f"{subject},{CRASHING_PART}:50"]
        body = f"unlike {len(self.crashing_outcomes)}".encode()
        await self._send_crashing(body, self.generator.choice(parts))

    async def _send_crashing(self, body: bytes, parts: str) -> None:
        outcome = Outcome(
            request=f"crashing-{len(self.crashing_outcomes)}",
            path="/stream/x",
            sent=body,
            crashing_parts=parts,
        )
        self.crashing_outcomes.append(outcome)
        async with aiohttp.ClientSession() as session:
            await self._call(session, outcome)

    async def surge(self, duration_s: float) -> None:
        """Send many times the usual requests of one workspace."""
        ends_at = time.monotonic() + duration_s
        callers = [self._call_until(ends_at) for _ in range(N_SURGE_CALLERS)]
        await asyncio.gather(*callers)

    async def _call_until(self, ends_at: float) -> None:
        while time.monotonic() < ends_at:
            await self.call_in_surge()
            await asyncio.sleep(CALL_INTERVAL_S)

    async def call_in_surge(self) -> Outcome:
        """Send one request of the workspace that surges."""
        outcome = Outcome(
            request=f"surge-{len(self.outcomes)}",
            path=self.generator.choice(SURGE_PATHS),
            key=SURGE_KEY,
        )
        self.outcomes.append(outcome)
        async with aiohttp.ClientSession() as session:
            await self._call(session, outcome)
        return outcome

    def _sample_subject(self) -> str:
        return f"{self.generator.randrange(self.n_subjects):x}:{self.subject_tokens}"

    async def _call(self, session: aiohttp.ClientSession, outcome: Outcome) -> None:
        hosts = sorted(self.fleet.hosts)
        if not hosts:
            return
        outcome.host = host = self.fleet.hosts[self.generator.choice(hosts)]
        tokens = (self.prompt_tokens, PROMPT_AND_OUTPUT_TOKENS[1])
        if not outcome.path.startswith("/stream"):
            tokens = (0, 0)
        own = outcome.request.replace("caller-", "")
        parts = outcome.crashing_parts or self._sample_subject()
        headers = {
            "Host": "club.example",
            "Attempt-Id": outcome.request,
            "Deadline-Ms": str(DEADLINE_MS),
            "Key": outcome.key,
            "Token-Count": f"{tokens[0]},{tokens[1]}",
            "Prompt-Prefix": f"{parts},{own}:50",
        }
        if outcome.resumes:
            headers["Resumes"] = outcome.resumes
            headers["Last-Event-Id"] = str(outcome.last_event_id)
        method = self.look_method if outcome.path.startswith("/look") else "POST"
        port = host.caller_port or host.find_port("caller_port")
        url = f"http://{LOOPBACK}:{port}{outcome.path}"
        timeout = aiohttp.ClientTimeout(total=CALL_TIMEOUT_S)
        outcome.began_at = time.monotonic()
        try:
            async with session.request(
                method, url, headers=headers, timeout=timeout, data=outcome.sent
            ) as response:
                outcome.status = response.status
                outcome.answered_request = response.headers.get("Attempt-Id", "")
                async for data in response.content.iter_any():
                    outcome.body += data
                outcome.is_whole = True
        except aiohttp.ClientConnectorError:
            outcome.host = None  # has read nothing
        except (aiohttp.ClientError, TimeoutError):
            # No host or an incomplete answer; `status` and `is_whole` show it.
            return
        finally:
            outcome.ended_at = time.monotonic()
