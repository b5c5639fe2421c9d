"""Run an event loop in virtual time, which jumps from one timer to the next."""

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any, TypeVar

ResultT = TypeVar("ResultT")


class VirtualTimeSelector(selectors.DefaultSelector):
    """Advance the loop's time instead of waiting."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0

    def select(self, timeout: float | None = None) -> list[Any]:
        """Advance the time to the next timer and return immediately."""
        if timeout is None:
            raise RuntimeError("all tasks are waiting and no timer is scheduled")
        self.now += max(0.0, timeout)
        return []


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """Run in virtual time, so that the machine's speed has no influence."""

    def __init__(self) -> None:
        self._jumping = VirtualTimeSelector()
        super().__init__(self._jumping)

    def time(self) -> float:
        """Return the virtual seconds since the start."""
        return self._jumping.now


def run_in_virtual_time(main: Coroutine[Any, Any, ResultT]) -> ResultT:
    """Run a coroutine in virtual time and return its result."""
    with asyncio.Runner(loop_factory=VirtualTimeLoop) as runner:
        return runner.run(main)
