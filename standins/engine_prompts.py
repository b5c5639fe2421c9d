"""Priority queue for the prompt processing of an engine stand-in."""

import asyncio
import heapq
import itertools


class PromptQueue:
    """Admit one request at a time, the highest priority first."""

    def __init__(self) -> None:
        self._busy = False
        self._numbers = itertools.count()
        self._waiting: list[tuple[int, int, asyncio.Future[None]]] = []

    async def acquire(self, priority: int) -> None:
        """Wait until this request may process its prompt; call release() after it."""
        if not self._busy:
            self._busy = True
            return
        turn: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        heapq.heappush(self._waiting, (-priority, next(self._numbers), turn))
        try:
            await turn
        except asyncio.CancelledError:
            if turn.done() and not turn.cancelled():
                self.release()
            raise

    def release(self) -> None:
        """Admit the next request that still waits."""
        while self._waiting:
            _, _, turn = heapq.heappop(self._waiting)
            if not turn.done():
                turn.set_result(None)
                return
        self._busy = False
