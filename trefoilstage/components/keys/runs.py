"""Hold answers as they grow, for every caller that asks for them."""

import asyncio
from collections.abc import AsyncGenerator
from dataclasses import dataclass, field

from trefoilstage.components.callers.generation import Answer
from trefoilstage.components.targets.models import Chunk
from trefoilstage.helpers.verdict import Refusal

GRACE_S = 2.0
MAX_KEPT_BYTES = 8_000_000
CHUNK_OVERHEAD_BYTES = 200


@dataclass(kw_only=True, slots=True, eq=False)
class Run:
    """Hold one request's answer, apart from any caller's connection."""

    key: str
    digest: str
    request: str
    has_key: bool
    last_wanted: float
    ended_at: float = 0.0
    chunks: list[Chunk] = field(default_factory=list)
    answer: Answer = field(default_factory=Answer)
    ended: bool = False
    is_local: bool = True
    n_bytes: int = 0
    n_listeners: int = 0
    task: asyncio.Task[None] | None = None
    _changed: asyncio.Event = field(default_factory=asyncio.Event)

    def add(self, chunk: Chunk) -> None:
        """Append a chunk and wake the listeners."""
        self.chunks.append(chunk)
        self.n_bytes += len(chunk.data) + CHUNK_OVERHEAD_BYTES
        self._notify()

    def end(self, refusal: Refusal | None) -> None:
        """Close the answer and wake the listeners."""
        self.answer.refusal = refusal
        self.ended = True
        self._notify()

    async def listen(self, *, timeout_s: float) -> AsyncGenerator[Chunk, None]:
        """Yield the chunks from the first on; raise TimeoutError when too late."""
        position = 0
        deadline = asyncio.get_running_loop().time() + timeout_s
        self.n_listeners += 1
        try:
            while not self.ended or position < len(self.chunks):
                if position == len(self.chunks):
                    # Only this wait is timed: a time limit around the yield
                    # would cancel whatever the listener awaits meanwhile.
                    async with asyncio.timeout_at(deadline):
                        await self.wait_for_change()
                    continue
                yield self.chunks[position]
                position += 1
        finally:
            self.n_listeners -= 1
            self._cancel_unwanted()

    async def wait_for_change(self) -> None:
        """Wait for a chunk or the end."""
        await self._changed.wait()

    def cancel(self) -> None:
        """Stop the run; its task tells the target and settles."""
        if self.task is not None:
            self.task.cancel()

    def _cancel_unwanted(self) -> None:
        # Without a key no retry can find this run, so nobody is left to wait for.
        if not self.has_key and not self.n_listeners and not self.ended:
            self.cancel()

    def _notify(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()


@dataclass(frozen=True, kw_only=True, slots=True)
class RunView:
    """Show a run without any of its text."""

    key: str
    request: str
    target: str
    is_local: bool
    ended: bool
    n_chunks: int
    n_bytes: int
    n_listeners: int


def describe_run(run: Run) -> RunView:
    """Return what a dump may show of a run."""
    return RunView(
        key=run.key,
        request=run.request,
        target=run.answer.target,
        is_local=run.is_local,
        ended=run.ended,
        n_chunks=len(run.chunks),
        n_bytes=run.n_bytes,
        n_listeners=run.n_listeners,
    )


class RunTable:
    """Hold this host's runs by key, and whole answers for a while."""

    def __init__(self, *, retention_s: float) -> None:
        self._retention_s = retention_s
        self._runs: dict[str, Run] = {}

    def get(self, key: str) -> Run | None:
        """Return the run of a key."""
        return self._runs.get(key)

    def add(self, run: Run) -> None:
        """Hold a run."""
        self._runs[run.key] = run

    def discard(self, run: Run) -> None:
        """Forget a run, unless its key has gone to another."""
        if self._runs.get(run.key) is run:
            del self._runs[run.key]

    def list_runs(self) -> list[Run]:
        """Return the runs, oldest first."""
        return list(self._runs.values())

    def list_unwanted(self, now: float) -> list[Run]:
        """Return the unfinished runs that nobody has listened to for long enough."""
        return [
            run
            for run in self._runs.values()
            if not run.ended and not note_wanted(run, now)
        ]

    def forget_old(self, now: float) -> None:
        """Forget answers past their retention, and the oldest above the bound."""
        kept = [run for run in self._runs.values() if run.ended]
        n_bytes = sum(run.n_bytes for run in kept)
        for run in kept:
            is_old = now - run.ended_at >= self._retention_s
            if is_old or n_bytes > MAX_KEPT_BYTES:
                n_bytes -= run.n_bytes
                self.discard(run)


def note_wanted(run: Run, now: float) -> bool:
    """Note that a run has listeners; tell whether it had any of late."""
    if run.n_listeners:
        run.last_wanted = now
    return now - run.last_wanted < GRACE_S
