"""Track the requests in progress, and end them at the end of a shutdown."""

import asyncio
import contextlib
from collections.abc import AsyncIterator, Iterator
from typing import Any

POLL_INTERVAL_S = 0.05
SETTLE_POLL_S = 0.005
# Ended requests settle and are answered within one iteration of the event loop, a few
# on a busy host, and cancelled ones end as soon.
SETTLE_TIMEOUT_S = 0.15
ANSWER_TIMEOUT_S = 0.1
CANCEL_TIMEOUT_S = 0.05


class OpenRequests:
    """Know which requests are in progress.

    If requests ended only when their connections close, they would settle their tokens
    after the host's last report, held but unspent tokens would be lost, and callers
    would get no answer.
    """

    def __init__(self) -> None:
        self._tasks: set[asyncio.Task[Any]] = set()
        self._timeouts: set[asyncio.Timeout] = set()

    def __len__(self) -> int:
        """Return the number of requests in progress."""
        return len(self._tasks)

    @contextlib.contextmanager
    def track(self) -> Iterator[None]:
        """Count the current task as a request in progress."""
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        try:
            yield
        finally:
            self._tasks.discard(task)

    @contextlib.asynccontextmanager
    async def allow_end(self) -> AsyncIterator[None]:
        """Raise TimeoutError in the enclosed block once requests are ended."""
        async with asyncio.timeout(None) as timeout:
            self._timeouts.add(timeout)
            try:
                yield
            finally:
                self._timeouts.discard(timeout)

    async def wait_until_done(self, timeout_s: float) -> bool:
        """Wait for the requests in progress; return whether all of them ended."""
        loop = asyncio.get_running_loop()
        deadline = loop.time() + timeout_s
        while self._tasks:
            if loop.time() >= deadline:
                return False
            await asyncio.sleep(POLL_INTERVAL_S)
        return True

    async def settle_all(self) -> None:
        """End the requests in progress, and wait until they have settled.

        Their answers may still be on their way then.
        """
        loop = asyncio.get_running_loop()
        for timeout in self._timeouts:
            if not timeout.expired():
                timeout.reschedule(loop.time())
        deadline = loop.time() + SETTLE_TIMEOUT_S
        while self._timeouts and loop.time() < deadline:
            await asyncio.sleep(SETTLE_POLL_S)

    async def end_all(self) -> None:
        """End the requests in progress, and wait until they are answered.

        The rest of an answer that its caller does not read is cancelled.
        """
        await self.settle_all()
        await self._wait(ANSWER_TIMEOUT_S)
        for task in self._tasks:
            task.cancel()
        await self._wait(CANCEL_TIMEOUT_S)

    async def _wait(self, timeout_s: float) -> None:
        if self._tasks:
            await asyncio.wait(self._tasks, timeout=timeout_s)
