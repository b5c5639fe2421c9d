"""The store comes back from a copy; hosts learn of it late and grant tokens twice."""

import asyncio
import sys
import time
from collections import Counter
from collections.abc import Awaitable, Callable
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import fleet2  # noqa: E402
from aiohttp import web  # noqa: E402
from fleet2 import (  # noqa: E402
    HTTP_OK,
    CannotRunError,
    Fleet,
    Record,
    Request,
    Server,
    Topic,
    make_answer,
    make_configuration,
    run_case,
)

N_WORKSPACES = 6
PREPAID = 300_000  # of each workspace
N_HOSTS = 4
N_CONSUMERS = 42
N_INPUT = 1_000
N_EVENTS = 5
TOKENS_PER_EVENT = 5  # as `stride` of the configuration
TOKEN_COUNT = f"{N_INPUT},{N_EVENTS * TOKENS_PER_EVENT}"
WORK_S = 0.08
GIVEN_SHARE = 0.93  # of all prepaid tokens, when the store goes away
MAX_AGE_S = 5.0  # of the copy: some seconds
AWAY_S = 0.4  # a moment
REST_S = 12.0  # of traffic after the store is back
NEVER_S = 60.0
HTTP_BUDGET = 402
Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


class Drill:
    """Answer no call that the store has not answered when it goes away."""

    def __init__(self) -> None:
        self.is_away = False
        self._began = asyncio.Event()

    def begin(self) -> None:
        """Let all calls under way, and those that come, wait without an answer."""
        self.is_away = True
        self._began.set()
        self._began = asyncio.Event()

    def end(self) -> None:
        """Answer new calls again."""
        self.is_away = False

    async def answer(
        self, request: web.Request, handler: Handler
    ) -> web.StreamResponse:
        """Return the store's answer, unless the store is or goes away."""
        if self.is_away:
            await asyncio.sleep(NEVER_S)
        call = asyncio.ensure_future(handler(request))
        began = asyncio.ensure_future(self._began.wait())
        await asyncio.wait({call, began}, return_when=asyncio.FIRST_COMPLETED)
        began.cancel()
        if not call.done():
            call.cancel()
            await asyncio.sleep(NEVER_S)
        return await call


class DrillStoreServer(fleet2.StoreServer):
    """Serve a store that may go away in a drill."""

    drill: Drill

    def make_app(self) -> web.Application:
        """Return the HTTP application."""
        app = super().make_app()

        @web.middleware
        async def answer(request: web.Request, handler: Handler) -> web.StreamResponse:
            return await self.drill.answer(request, handler)

        app.middlewares.append(answer)
        return app


async def serve(server: Server, request: Request, writer: asyncio.StreamWriter) -> bool:
    """Answer with a stream of the size that was asked for."""
    await asyncio.sleep(WORK_S)
    events = "".join(f"id: {n}\ndata: {n}\n\n" for n in range(1, N_EVENTS + 1))
    headers = {**server.seal(request), "Content-Type": "text/event-stream"}
    writer.write(make_answer(HTTP_OK, headers, events.encode()))
    return True


class Consumers:
    """Send requests of some workspaces, and count what each was given."""

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet
        self.hosts = list(fleet.hosts)
        self.given: Counter[str] = Counter()  # by key
        self.answered: Counter[str] = Counter()

    async def send(self, host: str, key: str) -> int:
        """Send a request; return the status of its answer, 0 without one."""
        answer = await self.fleet.call(
            "/stream/x", host=host, tokens=TOKEN_COUNT, key=key
        )
        status = 0 if answer is None else answer.status
        self.answered[str(status)] += 1
        if answer is not None and status == HTTP_OK:
            n_events = answer.body.count(b"\n\n")
            self.given[key] += N_INPUT + n_events * TOKENS_PER_EVENT
        return status

    async def send_until(self, until: float, number: int) -> None:
        """Send one request after the other, as a consumer of the balancer does."""
        n_sent = number
        key = f"key-{number % N_WORKSPACES}"
        while time.monotonic() < until:
            n_sent += 1
            status = await self.send(self.hosts[n_sent % len(self.hosts)], key)
            if status != HTTP_OK:
                await asyncio.sleep(0.3 if status == HTTP_BUDGET else 0.1)


async def restore_store(
    fleet: Fleet, consumers: Consumers, drill: Drill, record: Record
) -> None:
    """Let the store be away for a moment, and come back from a copy."""
    copy = fleet.store.make_copy()
    copied_at = time.monotonic()
    record("the copy is made")
    while consumers.given.total() < GIVEN_SHARE * N_WORKSPACES * PREPAID:
        if time.monotonic() > copied_at + MAX_AGE_S:
            break
        await asyncio.sleep(0.01)
    drill.begin()
    record(f"the store is away; tokens given so far: {dict(consumers.given)}")
    await asyncio.sleep(AWAY_S)
    fleet.store.restore(copy)
    drill.end()
    age_s = time.monotonic() - copied_at - AWAY_S
    record(f"the store is back, from a copy of {age_s:.1f} s before it went")
    for server in fleet.servers:
        await fleet.store.put(Topic.TARGETS, server.name, server.encode(sequence=2))
    await fleet.write_configuration()


async def case(record: Record, with_trouble: bool) -> bool:
    """Spend a budget through a drill; compare what was given with what was paid."""
    drill = DrillStoreServer.drill = Drill()
    fleet2.StoreServer = DrillStoreServer  # type: ignore[misc]
    servers = [
        Server(name=f"i-{number}", record=record, serve=serve) for number in range(4)
    ]
    keys = [f"key-{number}" for number in range(N_WORKSPACES)]
    tenants = [
        {"name": f"school-{key}", "api_keys": [key], "prepaid": PREPAID} for key in keys
    ]
    async with Fleet(
        record=record,
        servers=servers,
        n_hosts=N_HOSTS,
        configuration=make_configuration(tenants=tenants),
    ) as fleet:
        consumers = Consumers(fleet)
        for name in fleet.hosts:
            for key in keys:
                status = await consumers.send(name, key)
            if status != HTTP_OK:
                raise CannotRunError(f"{name} serves nothing in calm")
        until = time.monotonic() + MAX_AGE_S + REST_S
        tasks = [
            asyncio.create_task(consumers.send_until(until, number))
            for number in range(N_CONSUMERS)
        ]
        await asyncio.sleep(0.2)
        if with_trouble:
            await restore_store(fleet, consumers, drill, record)
        await asyncio.gather(*tasks)
        for host in fleet.hosts.values():
            for line in host.lines:
                if "escrow_drawn" in line or "store_restored" in line:
                    record(f"{host.name} wrote: {line}")
    record(f"answers: {dict(consumers.answered)}")
    record(f"tokens given, of {PREPAID} prepaid each: {dict(consumers.given)}")
    return max(consumers.given.values()) > PREPAID


run_case(FOLDER, case)
