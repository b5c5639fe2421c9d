"""Store answers while they are generated, for all callers that request them."""

import asyncio
from collections.abc import AsyncGenerator
from dataclasses import dataclass, field

from trefoilstage.components.callers.generation import GenerationResult
from trefoilstage.components.targets.models import Chunk
from trefoilstage.helpers.verdict import Effect, Reason, Refusal

LISTENER_GRACE_S = 2.0
MAX_RETAINED_BYTES = 8_000_000
CHUNK_OVERHEAD_BYTES = 200


@dataclass(kw_only=True, slots=True, eq=False)
class Run:
    """Represent the run of one request, independent of any caller's connection."""

    key: str
    digest: str
    request: str
    has_key: bool
    last_listened_at: float
    ended_at: float = 0.0
    chunks: list[Chunk] = field(default_factory=list)
    result: GenerationResult = field(default_factory=GenerationResult)
    ended: bool = False
    is_local: bool = True
    n_bytes: int = 0
    n_listeners: int = 0
    task: asyncio.Task[None] | None = None
    cancel_reason: Reason = Reason.CANCELLED
    _changed: asyncio.Event = field(default_factory=asyncio.Event)

    def add(self, chunk: Chunk) -> None:
        """Append a chunk and notify the listeners."""
        self.chunks.append(chunk)
        self.n_bytes += len(chunk.data) + CHUNK_OVERHEAD_BYTES
        self._notify()

    def end(self, refusal: Refusal | None) -> None:
        """End the run, with a refusal if it failed, and notify the listeners."""
        self.result.refusal = refusal
        self.ended = True
        self._notify()

    async def listen(self, *, timeout_s: float) -> AsyncGenerator[Chunk, None]:
        """Yield all chunks; raise TimeoutError if the run outlasts timeout_s."""
        position = 0
        deadline = asyncio.get_running_loop().time() + timeout_s
        self.n_listeners += 1
        try:
            while not self.ended or position < len(self.chunks):
                if position == len(self.chunks):
                    # The timeout covers only this wait. Around the yield it would
                    # also cancel whatever the listener awaits in the meantime.
                    async with asyncio.timeout_at(deadline):
                        await self.wait_for_change()
                    continue
                yield self.chunks[position]
                position += 1
        finally:
            self.n_listeners -= 1
            self._cancel_if_abandoned()

    async def wait_for_change(self) -> None:
        """Wait for the next chunk or the end of the run."""
        await self._changed.wait()

    def cancel(self, reason: Reason = Reason.CANCELLED) -> None:
        """Cancel the run; its task cancels the request at the target and settles it."""
        if self.task is not None:
            self.cancel_reason = reason
            self.task.cancel()

    def end_cancelled(self) -> None:
        """End the run after its cancellation, with what is known of its effect."""
        # Another host may have run a request with a key.
        is_unsent = not self.has_key and not self.result.target
        self.end(
            Refusal(
                reason=self.cancel_reason,
                effect=Effect.NOT_RUN if is_unsent else Effect.UNKNOWN,
            )
        )

    def _cancel_if_abandoned(self) -> None:
        # Without a key no retry can join this run, so its answer has no use.
        if not self.has_key and not self.n_listeners and not self.ended:
            self.cancel()

    def _notify(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()


@dataclass(frozen=True, kw_only=True, slots=True)
class RunState:
    """Describe a run without its text for the state dump."""

    key: str
    request: str
    target: str
    is_local: bool
    ended: bool
    n_chunks: int
    n_bytes: int
    n_listeners: int


def describe_run(run: Run) -> RunState:
    """Return a run's entry for the state dump."""
    return RunState(
        key=run.key,
        request=run.request,
        target=run.result.target,
        is_local=run.is_local,
        ended=run.ended,
        n_chunks=len(run.chunks),
        n_bytes=run.n_bytes,
        n_listeners=run.n_listeners,
    )


class RunTable:
    """Store this host's runs by key; ended runs stay for retention_s."""

    def __init__(self, *, retention_s: float) -> None:
        self._retention_s = retention_s
        self._runs: dict[str, Run] = {}

    def get(self, key: str) -> Run | None:
        """Return the run of a key, None if there is none."""
        return self._runs.get(key)

    def add(self, run: Run) -> None:
        """Store a run under its key."""
        self._runs[run.key] = run

    def discard(self, run: Run) -> None:
        """Remove a run, unless a newer one has its key."""
        if self._runs.get(run.key) is run:
            del self._runs[run.key]

    def list_runs(self) -> list[Run]:
        """Return the runs, oldest first."""
        return list(self._runs.values())

    def list_abandoned(self, now: float) -> list[Run]:
        """Return the unfinished runs without a listener for LISTENER_GRACE_S."""
        return [
            run
            for run in self._runs.values()
            if not run.ended and not refresh_last_listened(run, now)
        ]

    def drop_old_runs(self, now: float) -> None:
        """Remove ended runs past retention, and the oldest above MAX_RETAINED_BYTES."""
        ended_runs = [run for run in self._runs.values() if run.ended]
        n_bytes = sum(run.n_bytes for run in ended_runs)
        for run in ended_runs:
            is_expired = now - run.ended_at >= self._retention_s
            if is_expired or n_bytes > MAX_RETAINED_BYTES:
                n_bytes -= run.n_bytes
                self.discard(run)


def refresh_last_listened(run: Run, now: float) -> bool:
    """Update when a run last had listeners; return whether it had any recently."""
    if run.n_listeners:
        run.last_listened_at = now
    return now - run.last_listened_at < LISTENER_GRACE_S
