"""Run periodic callbacks."""

import asyncio
from collections.abc import Awaitable, Callable

from mode import Service

from trefoilstage.helpers.events import Event, describe_error, log_event

Callback = Callable[[], Awaitable[None]]
Unsubscribe = Callable[[], None]


class TimerService(Service):
    """Run all periodic callbacks, so that components need no loops of their own."""

    def __init__(self) -> None:
        super().__init__()
        self._tasks: set[asyncio.Task[None]] = set()

    def now(self) -> float:
        """Return the monotonic time in seconds."""
        return asyncio.get_running_loop().time()

    def subscribe(
        self, *, name: str, interval_s: float, callback: Callback
    ) -> Unsubscribe:
        """Run a callback at each interval until the returned function is called."""
        task = asyncio.create_task(self._run(name, interval_s, callback), name=name)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task.cancel  # type: ignore[return-value]

    async def _run(self, name: str, interval_s: float, callback: Callback) -> None:
        while True:
            await asyncio.sleep(interval_s)
            try:
                await callback()
            except Exception as error:
                # One exception must not end the subscription: a controller whose
                # callback stopped unnoticed would never return its tokens.
                log_event(Event.TIMER_FAILED, name=name, error=describe_error(error))

    async def on_stop(self) -> None:
        """Cancel the remaining subscriptions."""
        for task in list(self._tasks):
            task.cancel()
