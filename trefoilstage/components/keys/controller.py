"""Run each keyed request once in the fleet, and let its retries join."""

import asyncio
from dataclasses import dataclass

from mode import Service

from trefoilstage.blackboard import Blackboard
from trefoilstage.components.callers.generation import GenerationRunner
from trefoilstage.components.callers.models import Caller, ChatRequest
from trefoilstage.components.keys.claims import ClaimTable
from trefoilstage.components.keys.follower import Followed, RunFollower
from trefoilstage.components.keys.messages import (
    ClaimKey,
    ClaimReply,
    ReadRun,
    RunPage,
)
from trefoilstage.components.keys.runs import Run, RunTable, RunView, describe_run
from trefoilstage.components.peers.links import PeerLinks
from trefoilstage.components.peers.messages import PeerMessage
from trefoilstage.components.peers.server import PeerServer
from trefoilstage.exceptions import PeerUnavailableError
from trefoilstage.helpers.events import Event, describe_error, log_event
from trefoilstage.helpers.verdict import Effect, Reason, Refusal
from trefoilstage.timer import TimerService
from trefoilstage.util.hashing import hash_call, rank_by_rendezvous

CLAIM_TIMEOUT_S = 0.5
MAX_HOMES = 2
MAX_REPLACED = 2
SWEEP_S = 0.25
PAGE_WAIT_S = 0.5
MAX_PAGE_CHUNKS = 1024

KEY_REUSED = Refusal(
    reason=Reason.KEY_REUSED, detail="the key came with another request"
)


@dataclass(frozen=True, kw_only=True, slots=True)
class KeysView:
    """Show the keys that a host holds, for its dump."""

    n_claims: int
    runs: list[RunView]


class KeyController(Service):
    """Own this host's runs, and the claims of the keys at home here."""

    def __init__(
        self,
        *,
        blackboard: Blackboard,
        generations: GenerationRunner,
        links: PeerLinks,
        server: PeerServer,
        timer: TimerService,
        retention_s: float,
    ) -> None:
        super().__init__()
        self._blackboard = blackboard
        self._generations = generations
        self._links = links
        self._timer = timer
        self._follower = RunFollower(blackboard=blackboard, links=links)
        self._claims = ClaimTable()
        self._runs = RunTable(retention_s=retention_s)
        server.register(ClaimKey, self._answer_claim)
        server.register(ReadRun, self._answer_read)

    async def on_start(self) -> None:
        """Start the sweep."""
        self._unsubscribe = self._timer.subscribe(
            name="sweep runs", interval_s=SWEEP_S, callback=self._sweep
        )

    async def on_stop(self) -> None:
        """Stop the sweep."""
        self._unsubscribe()

    def describe(self) -> KeysView:
        """Return this host's runs, and how many keys are at home here."""
        runs = [describe_run(run) for run in self._runs.list_runs()]
        return KeysView(n_claims=len(self._claims), runs=runs)

    def open_run(self, caller: Caller, chat: ChatRequest) -> Run | Refusal:
        """Return the run of a caller's key, a new one if there is none."""
        digest = hash_call("chat", chat.make_canonical())
        present = self._runs.get(caller.key)
        if present is not None:
            return present if present.digest == digest else KEY_REUSED
        run = Run(
            key=caller.key,
            digest=digest,
            request=caller.request,
            has_key=caller.has_key,
            last_wanted=self._timer.now(),
        )
        self._runs.add(run)
        # The run is a task of its own: a caller that hangs up must not end an
        # answer that others listen to. Graceful shutdown waits for "closing".
        run.task = asyncio.create_task(self._feed(run, caller, chat))
        self._blackboard.closing.add(run.task)
        run.task.add_done_callback(self._blackboard.closing.discard)
        return run

    async def _feed(self, run: Run, caller: Caller, chat: ChatRequest) -> None:
        try:
            if not caller.has_key or await self._claim_or_follow(run):
                await self._generate(run, caller, chat)
        except asyncio.CancelledError:
            run.end(Refusal(reason=Reason.CANCELLED, effect=Effect.UNKNOWN))
            raise
        except Exception as error:
            # Without an end, listeners would wait for their whole deadline.
            run.end(Refusal(reason=Reason.INTERNAL, effect=Effect.UNKNOWN))
            log_event(
                Event.REQUEST_FAILED,
                request=caller.request,
                workspace=caller.workspace,
                error=describe_error(error),
            )
        finally:
            run.ended_at = self._timer.now()
            # Only a whole answer is worth replaying; what failed runs again.
            if not run.has_key or not run.is_local or run.answer.refusal is not None:
                self._runs.discard(run)

    async def _generate(self, run: Run, caller: Caller, chat: ChatRequest) -> None:
        async for chunk in self._generations.run(caller, chat, run.answer):
            run.add(chunk)
        run.end(run.answer.refusal)

    async def _claim_or_follow(self, run: Run) -> bool:
        """Tell whether to generate here; otherwise the run has ended."""
        request = run.request
        lost = ""
        for _ in range(MAX_REPLACED + 1):
            reply = await self._claim(run, request, lost)
            if reply.standing == "granted":
                run.request = request
                run.is_local = True
                return True
            if reply.standing == "conflict":
                run.end(KEY_REUSED)
                return False
            run.is_local = False
            run.request = reply.request
            if await self._follower.follow(run, reply) is Followed.ENDED:
                return False
            lost = reply.request
        run.end(
            Refusal(
                reason=Reason.IN_PROGRESS,
                effect=Effect.UNKNOWN,
                detail="a run with this key is on at a host out of reach",
                retry_after_s=1.0,
            )
        )
        return False

    async def _claim(self, run: Run, request: str, lost: str) -> ClaimReply:
        message = ClaimKey(
            key=run.key,
            digest=run.digest,
            runner=self._blackboard.incarnation,
            request=request,
            replaces=lost,
        )
        peers = {entry.host: entry for entry in self._blackboard.list_live_peers()}
        homes = rank_by_rendezvous(run.key, [self._blackboard.host, *peers])
        for home in homes[:MAX_HOMES]:
            if home == self._blackboard.host:
                return self._claims.answer(message, now=self._timer.now())
            link = self._links.get_link(peers[home].peer_url)
            try:
                reply = await link.call(message, timeout_s=CLAIM_TIMEOUT_S)
            except PeerUnavailableError:
                continue
            if isinstance(reply, ClaimReply):
                return reply
        # No home answers. Running here may do the work twice, never bill it twice.
        return self._claims.answer(message, now=self._timer.now())

    async def _answer_claim(self, message: ClaimKey) -> PeerMessage:
        return self._claims.answer(message, now=self._timer.now())

    async def _answer_read(self, message: ReadRun) -> PeerMessage:
        run = self._runs.get(message.key)
        if run is None or run.request != message.request or not run.is_local:
            return RunPage(found=False)
        run.last_wanted = self._timer.now()
        if not run.ended and len(run.chunks) <= message.position:
            await self._wait_for_more(run)
        return make_page(run, message.position)

    async def _wait_for_more(self, run: Run) -> None:
        run.n_listeners += 1
        try:
            async with asyncio.timeout(PAGE_WAIT_S):
                await run.wait_for_change()
        except TimeoutError:
            return
        finally:
            run.n_listeners -= 1

    async def _sweep(self) -> None:
        now = self._timer.now()
        for run in self._runs.list_unwanted(now):
            # Forgotten first: a retry that comes now starts a run of its own.
            self._runs.discard(run)
            run.cancel()
        self._runs.forget_old(now)


def make_page(run: Run, position: int) -> RunPage:
    """Return the chunks of a run from a position on, as many as a page takes."""
    chunks = run.chunks[position : position + MAX_PAGE_CHUNKS]
    ended = run.ended and position + len(chunks) >= len(run.chunks)
    refusal = run.answer.refusal if ended else None
    return RunPage(
        found=True,
        chunks=tuple(chunk.data for chunk in chunks),
        ended=ended,
        reason=refusal.reason.value if refusal else "",
        effect=refusal.effect.value if refusal else "",
        detail=refusal.detail[:1000] if refusal else "",
        retry_after_s=refusal.retry_after_s if refusal else None,
    )
