"""Order the requests that wait for capacity of a service, by fair shares; pure.

More urgent requests go first. Among equals, start-time fair queueing shares the
capacity by workspace: one that sends many times its usual load waits for itself only.
Within a workspace, requests go by arrival.
"""

from collections.abc import Callable
from dataclasses import dataclass

FindPlace = Callable[["WaitingRequest"], str | None]


@dataclass(frozen=True, kw_only=True, slots=True)
class WaitingRequest:
    """Describe a request that waits for a place until `wait_until`."""

    request_id: str
    host: str
    workspace: str
    urgency: int  # the highest goes first
    kv_tokens: int  # 0 for plain calls
    queued_at: float
    wait_until: float


class FairQueue:
    """Store a bounded number of waiting requests, and pick the next by fair shares."""

    def __init__(self, *, max_length: int) -> None:
        self._max_length = max_length
        self.reserved_kv_tokens = 0

    def __len__(self) -> int:
        """Return the number of waiting requests."""
        raise NotImplementedError

    def add(self, request: WaitingRequest, now: float) -> list[WaitingRequest]:
        """Add a request and return the refused ones, which left the queue."""
        raise NotImplementedError

    def remove(self, request_id: str) -> WaitingRequest | None:
        """Remove and return a request, None if it does not wait."""
        raise NotImplementedError

    def expire(self, now: float) -> list[WaitingRequest]:
        """Remove and return the requests whose time to wait is over."""
        raise NotImplementedError

    def pop_next(
        self, find_place: FindPlace, now: float
    ) -> tuple[WaitingRequest, str] | None:
        """Remove and return the next request for which there is a place, and the place.

        `find_place` must leave the target with the most free memory to the request that
        `reserved_kv_tokens` is for:
        `lambda request: table.find_room(request.kv_tokens, queue.reserved_kv_tokens)`.
        """
        raise NotImplementedError

    def estimate_wait_s(
        self, request: WaitingRequest, freed_per_s: float, now: float
    ) -> float:
        """Return the seconds until a request, queued or not, has a place."""
        raise NotImplementedError

    def count_waiting(self) -> dict[str, int]:
        """Return the number of waiting requests by workspace."""
        raise NotImplementedError
