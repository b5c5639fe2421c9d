"""Run each chat request with an idempotency key once in the fleet.

Retries join the run, also at hosts other than the one that runs it.
"""

import asyncio
from dataclasses import dataclass

from mode import Service

from trefoilstage.blackboard import Blackboard
from trefoilstage.components.callers.generation import GenerationRunner
from trefoilstage.components.callers.models import Caller, ChatRequest
from trefoilstage.components.keys.claims import ClaimTable
from trefoilstage.components.keys.follower import FollowResult, RunFollower
from trefoilstage.components.keys.messages import (
    ClaimKey,
    ClaimReply,
    ReadRun,
    RunPage,
)
from trefoilstage.components.keys.runs import Run, RunState, RunTable, describe_run
from trefoilstage.components.peers.links import PeerLinks
from trefoilstage.components.peers.messages import PeerMessage
from trefoilstage.components.peers.server import PeerServer
from trefoilstage.exceptions import PeerUnavailableError
from trefoilstage.helpers.events import Event, describe_error, log_event
from trefoilstage.helpers.verdict import Effect, Reason, Refusal
from trefoilstage.timer import TimerService
from trefoilstage.util.hashing import hash_call, rank_by_rendezvous

CLAIM_TIMEOUT_S = 0.5
MAX_HOMES_TRIED = 2
MAX_LOST_RUNS_REPLACED = 2
SWEEP_INTERVAL_S = 0.25
PAGE_WAIT_S = 0.5
MAX_PAGE_CHUNKS = 1024

KEY_REUSED_REFUSAL = Refusal(
    reason=Reason.KEY_REUSED, detail="the key was used before with a different request"
)


@dataclass(frozen=True, kw_only=True, slots=True)
class KeysState:
    """Describe a host's runs and claims for the state dump."""

    n_claims: int
    runs: list[RunState]


class KeyController(Service):
    """Manage this host's runs, and the claims of the keys whose home it is."""

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
        server.register(ClaimKey, self._handle_claim_key)
        server.register(ReadRun, self._handle_read_run)

    async def on_start(self) -> None:
        """Start the timer that cancels abandoned runs and drops old ones."""
        self._unsubscribe = self._timer.subscribe(
            name="sweep runs", interval_s=SWEEP_INTERVAL_S, callback=self._sweep
        )

    async def on_stop(self) -> None:
        """Stop the timer."""
        self._unsubscribe()

    def describe(self) -> KeysState:
        """Return this host's runs and its number of claims."""
        runs = [describe_run(run) for run in self._runs.list_runs()]
        return KeysState(n_claims=len(self._claims), runs=runs)

    def get_or_start_run(self, caller: Caller, chat: ChatRequest) -> Run | Refusal:
        """Return the run of a caller's key, and start one if there is none."""
        digest = hash_call("chat", chat.serialize_canonically())
        existing = self._runs.get(caller.key)
        if existing is not None:
            return existing if existing.digest == digest else KEY_REUSED_REFUSAL
        run = Run(
            key=caller.key,
            digest=digest,
            request=caller.request,
            has_key=caller.has_key,
            last_listened_at=self._timer.now(),
        )
        self._runs.add(run)
        # The run is a separate task because a caller that disconnects must not end
        # an answer that others listen to. Graceful shutdown waits for "closing".
        run.task = asyncio.create_task(self._execute_run(run, caller, chat))
        self._blackboard.closing.add(run.task)
        run.task.add_done_callback(self._blackboard.closing.discard)
        return run

    async def end_runs(self) -> None:
        """End all runs; each listener gets a refusal."""
        # A task that is cancelled before its first step would not end its run.
        await asyncio.sleep(0)
        for run in self._runs.list_runs():
            if not run.ended:
                run.cancel(Reason.SHUTTING_DOWN)

    async def _execute_run(self, run: Run, caller: Caller, chat: ChatRequest) -> None:
        try:
            if not caller.has_key or await self._claim_or_follow(run):
                await self._generate(run, caller, chat)
        except asyncio.CancelledError:
            run.end_cancelled()
            raise
        except Exception as error:
            # Listeners would otherwise wait until their deadlines.
            run.end(Refusal(reason=Reason.INTERNAL, effect=Effect.UNKNOWN))
            log_event(
                Event.REQUEST_FAILED,
                request=caller.request,
                workspace=caller.workspace,
                error=describe_error(error),
            )
        finally:
            run.ended_at = self._timer.now()
            # Only complete answers are replayed; a failed request runs again.
            if not run.has_key or not run.is_local or run.result.refusal is not None:
                self._runs.discard(run)

    async def _generate(self, run: Run, caller: Caller, chat: ChatRequest) -> None:
        async for chunk in self._generations.run(caller, chat, run.result):
            run.add(chunk)
        run.end(run.result.refusal)

    async def _claim_or_follow(self, run: Run) -> bool:
        """Return whether to generate here; if not, the run has ended."""
        request = run.request
        lost_request = ""
        for _ in range(MAX_LOST_RUNS_REPLACED + 1):
            reply = await self._claim_key(run, request, lost_request)
            if reply.standing == "granted":
                run.request = request
                run.is_local = True
                return True
            if reply.standing == "conflict":
                run.end(KEY_REUSED_REFUSAL)
                return False
            run.is_local = False
            run.request = reply.request
            if await self._follower.follow(run, reply) is FollowResult.ENDED:
                return False
            lost_request = reply.request
        run.end(
            Refusal(
                reason=Reason.IN_PROGRESS,
                effect=Effect.UNKNOWN,
                detail="a request with this key is running at an unreachable host",
                retry_after_s=1.0,
            )
        )
        return False

    async def _claim_key(self, run: Run, request: str, lost_request: str) -> ClaimReply:
        message = ClaimKey(
            key=run.key,
            digest=run.digest,
            runner=self._blackboard.incarnation,
            request=request,
            replaces=lost_request,
        )
        peers = {entry.host: entry for entry in self._blackboard.list_live_peers()}
        homes = rank_by_rendezvous(run.key, [self._blackboard.host, *peers])
        for home in homes[:MAX_HOMES_TRIED]:
            if home == self._blackboard.host:
                return self._claims.handle_claim(message, now=self._timer.now())
            link = self._links.get_link(peers[home].peer_url)
            try:
                reply = await link.call(message, timeout_s=CLAIM_TIMEOUT_S)
            except PeerUnavailableError:
                continue
            if isinstance(reply, ClaimReply):
                return reply
        # No home replied. The request may run twice, but is never billed twice.
        return self._claims.handle_claim(message, now=self._timer.now())

    async def _handle_claim_key(self, message: ClaimKey) -> PeerMessage:
        return self._claims.handle_claim(message, now=self._timer.now())

    async def _handle_read_run(self, message: ReadRun) -> PeerMessage:
        run = self._runs.get(message.key)
        if run is None or run.request != message.request or not run.is_local:
            return RunPage(found=False)
        run.last_listened_at = self._timer.now()
        if not run.ended and len(run.chunks) <= message.position:
            await self._wait_for_page(run)
        return make_page(run, message.position)

    async def _wait_for_page(self, run: Run) -> None:
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
        for run in self._runs.list_abandoned(now):
            # The run is discarded first, so that a retry which arrives during the
            # cancellation starts a new run.
            self._runs.discard(run)
            run.cancel()
        self._runs.drop_old_runs(now)


def make_page(run: Run, position: int) -> RunPage:
    """Return up to MAX_PAGE_CHUNKS chunks of a run, starting at a position."""
    chunks = run.chunks[position : position + MAX_PAGE_CHUNKS]
    ended = run.ended and position + len(chunks) >= len(run.chunks)
    refusal = run.result.refusal if ended else None
    return RunPage(
        found=True,
        chunks=tuple(chunk.data for chunk in chunks),
        ended=ended,
        reason=refusal.reason.value if refusal else "",
        effect=refusal.effect.value if refusal else "",
        detail=refusal.detail[:1000] if refusal else "",
        retry_after_s=refusal.retry_after_s if refusal else None,
    )
