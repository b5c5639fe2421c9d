"""Run an event loop whose time jumps from one timer to the next."""

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any, TypeVar

ResultT = TypeVar("ResultT")


class JumpingSelector(selectors.DefaultSelector):
    """Wait for nothing; move the loop's time on instead."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0

    def select(self, timeout: float | None = None) -> list[Any]:
        """Let the time until the next timer pass at once."""
        if timeout is None:
            raise RuntimeError("everything waits and no timer is set")
        self.now += max(0.0, timeout)
        return []


class VirtualLoop(asyncio.SelectorEventLoop):
    """Tell virtual time; what happens depends on the program alone."""

    def __init__(self) -> None:
        self._jumping = JumpingSelector()
        super().__init__(self._jumping)

    def time(self) -> float:
        """Return the virtual seconds since the start."""
        return self._jumping.now


def run_virtually(main: Coroutine[Any, Any, ResultT]) -> ResultT:
    """Run a coroutine in virtual time and return its result."""
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        return runner.run(main)
