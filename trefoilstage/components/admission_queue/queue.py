"""Order the requests that wait for capacity of a service, by fair shares; pure.

More urgent requests go first. Among equals, start-time fair queueing shares the
capacity by workspace: one that sends many times its usual load waits for itself only.
Within a workspace, requests go by arrival.
"""

import math
from collections import Counter
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from heapq import heapify, heappop, heappush

FindPlace = Callable[["WaitingRequest"], str | None]

# A lower rate does not show in the 2 s over which freed places are counted.
MIN_FREED_PER_S = 0.5


@dataclass(frozen=True, kw_only=True, slots=True)
class WaitingRequest:
    """Describe a request that waits for a place until `wait_until`."""

    request_id: str
    host: str
    workspace: str
    urgency: int  # 0 is the most urgent
    kv_tokens: int  # 0 for plain calls
    queued_at: float
    wait_until: float
    unusable: frozenset[str] = frozenset()  # targets that it may not be sent to

    @property
    def cost(self) -> int:
        """Return what the request adds to the use of its workspace."""
        return self.kv_tokens or 1


@dataclass(kw_only=True, slots=True)
class Flow:
    """Store the waiting requests of one workspace at one urgency, by arrival."""

    start: float  # virtual time at which the first request starts
    requests: dict[str, tuple[int, WaitingRequest]] = field(default_factory=dict)

    def list_tags(self) -> Iterator[tuple[float, int, WaitingRequest]]:
        """Yield the virtual start, the number of arrival and the request."""
        start = self.start
        for number, request in self.requests.values():
            yield start, number, request
            start += request.cost

    def list_before(self, rank: tuple[float, float]) -> Iterator[WaitingRequest]:
        """Yield the requests whose virtual start and number are below others."""
        for start, number, request in self.list_tags():
            if (start, number) >= rank:
                return
            yield request

    def get_end(self) -> float:
        """Return the virtual time at which the next request to arrive starts."""
        return self.start + sum(item.cost for _, item in self.requests.values())


@dataclass(kw_only=True, slots=True)
class UrgencyLevel:
    """Share capacity among the workspaces whose requests are equally urgent.

    The first request that found no place stays first until it leaves, as room is
    reserved for it meanwhile.
    """

    virtual_time: float = 0.0
    flows: dict[str, Flow] = field(default_factory=dict)  # by workspace
    ends: dict[str, float] = field(default_factory=dict)  # of workspaces without flow
    blocked: WaitingRequest | None = None

    def add(self, request: WaitingRequest, number: int) -> None:
        """Add a request behind those of its workspace."""
        workspace = request.workspace
        if workspace not in self.flows:
            start = self._get_start(workspace)
            self.flows[workspace] = Flow(start=start)
            self.ends.pop(workspace, None)
        self.flows[workspace].requests[request.request_id] = (number, request)

    def remove(self, request: WaitingRequest) -> None:
        """Remove a request that its workspace did not get a place for."""
        flow = self.flows[request.workspace]
        del flow.requests[request.request_id]
        if self.blocked is request:
            self.blocked = None
        if not flow.requests:
            del self.flows[request.workspace]
            if flow.start > self.virtual_time:
                self.ends[request.workspace] = flow.start

    def serve(self, request: WaitingRequest) -> None:
        """Remove a request that got a place, and count its use."""
        flow = self.flows[request.workspace]
        self.virtual_time = max(self.virtual_time, flow.start)
        flow.start += request.cost
        self.remove(request)
        self.ends = {
            workspace: end
            for workspace, end in self.ends.items()
            if end > self.virtual_time
        }

    def list_in_order(self) -> Iterator[WaitingRequest]:
        """Yield the requests from first to last."""
        if self.blocked is not None:
            yield self.blocked
        flows = [flow.list_tags() for flow in self.flows.values()]
        heap = [(*next(tags), index) for index, tags in enumerate(flows)]
        heapify(heap)
        while heap:
            _, _, request, index = heappop(heap)
            following = next(flows[index], None)
            if following is not None:
                heappush(heap, (*following, index))
            if request is not self.blocked:
                yield request

    def count_ahead(self, request: WaitingRequest, now: float) -> int:
        """Return how many requests go before one, which may be about to be added."""
        rank = self._get_rank(request)
        return sum(
            item.wait_until > now
            for flow in self.flows.values()
            for item in flow.list_before(rank)
        )

    def _get_rank(self, request: WaitingRequest) -> tuple[float, float]:
        """Return the virtual start and the number of arrival of a request."""
        flow = self.flows.get(request.workspace)
        if flow is None:
            return self._get_start(request.workspace), math.inf
        if request.request_id not in flow.requests:
            return flow.get_end(), math.inf
        return next(
            (start, number)
            for start, number, item in flow.list_tags()
            if item.request_id == request.request_id
        )

    def _get_start(self, workspace: str) -> float:
        return max(self.virtual_time, self.ends.get(workspace, 0.0))


class FairQueue:
    """Store a bounded number of waiting requests, and pick the next by fair shares."""

    def __init__(self, *, max_length: int) -> None:
        self._max_length = max_length
        self._requests: dict[str, WaitingRequest] = {}  # by arrival
        self._counts: Counter[str] = Counter()  # by workspace
        self._levels: dict[int, UrgencyLevel] = {}
        self._n_added = 0
        # What the first request needs, if it found no place.
        self.reserved_kv_tokens = 0

    def __len__(self) -> int:
        """Return the number of waiting requests."""
        return len(self._requests)

    def add(self, request: WaitingRequest, now: float) -> list[WaitingRequest]:
        """Add a request and return the refused ones, which left the queue.

        If the queue is full, this is the newest of the workspace with most waiting, so
        that no workspace pushes out another's. A request that waits already is added
        anew.
        """
        if request.wait_until <= now:
            return [request]
        self.remove(request.request_id)
        self._n_added += 1
        self._requests[request.request_id] = request
        self._counts[request.workspace] += 1
        level = self._levels.setdefault(request.urgency, UrgencyLevel())
        level.add(request, self._n_added)
        if len(self) <= self._max_length:
            return []
        refused = self._find_newest_of_most()
        self.remove(refused.request_id)
        return [refused]

    def remove(self, request_id: str) -> WaitingRequest | None:
        """Remove and return a request, None if it does not wait."""
        request = self._requests.get(request_id)
        if request is not None:
            self._levels[request.urgency].remove(request)
            self._forget(request)
        return request

    def expire(self, now: float) -> list[WaitingRequest]:
        """Remove and return the requests whose time to wait is over."""
        expired = [item for item in self._requests.values() if item.wait_until <= now]
        for request in expired:
            self.remove(request.request_id)
        return expired

    def pop_next(
        self, find_place: FindPlace, now: float
    ) -> tuple[WaitingRequest, str] | None:
        """Remove and return the next request for which there is a place, and the place.

        `find_place` has no effects. It must leave the target with the most free memory
        to the request that `reserved_kv_tokens` is for:
        `lambda request: table.find_room(request.kv_tokens, queue.reserved_kv_tokens)`.
        """
        self.reserved_kv_tokens = 0
        smallest_without = math.inf
        for request in self._list_in_order():
            # What is at least as large as one that found no place finds none either.
            if request.wait_until <= now or request.kv_tokens >= smallest_without:
                continue
            place = find_place(request)
            if place is not None:
                self._levels[request.urgency].serve(request)
                self._forget(request)
                return request, place
            if request.unusable:
                # Others may find room at the targets that this one may not use.
                continue
            if smallest_without == math.inf:
                self._levels[request.urgency].blocked = request
                self.reserved_kv_tokens = request.kv_tokens
                if not self._may_smaller_find(find_place, request, now):
                    break
            smallest_without = request.kv_tokens
        return None

    def estimate_wait_s(
        self, request: WaitingRequest, freed_per_s: float, now: float
    ) -> float:
        """Return the seconds until a request, queued or not, has a place.

        `freed_per_s` is the rate at which places are freed.
        """
        n_ahead = sum(
            item.urgency < request.urgency and item.wait_until > now
            for item in self._requests.values()
        )
        if request.urgency in self._levels:
            n_ahead += self._levels[request.urgency].count_ahead(request, now)
        return (n_ahead + 1) / max(freed_per_s, MIN_FREED_PER_S)

    def count_waiting(self) -> dict[str, int]:
        """Return the number of waiting requests by workspace."""
        return dict(self._counts)

    def _list_in_order(self) -> Iterator[WaitingRequest]:
        for urgency in sorted(self._levels):
            yield from self._levels[urgency].list_in_order()

    def _may_smaller_find(
        self, find_place: FindPlace, first: WaitingRequest, now: float
    ) -> bool:
        """Return whether any request may find a place if the first one does not.

        Without this test of the smallest one, each change at a full service would
        put the whole queue in order.
        """
        smallest = min(
            (item for item in self._requests.values() if item.wait_until > now),
            key=lambda item: item.kv_tokens,
        )
        return smallest.kv_tokens < first.kv_tokens and find_place(smallest) is not None

    def _find_newest_of_most(self) -> WaitingRequest:
        most = max(self._counts.values())
        return next(
            request
            for request in reversed(self._requests.values())
            if self._counts[request.workspace] == most
        )

    def _forget(self, request: WaitingRequest) -> None:
        """Remove a request that has left its level."""
        del self._requests[request.request_id]
        self._counts[request.workspace] -= 1
        if not self._counts[request.workspace]:
            del self._counts[request.workspace]
        if not self._levels[request.urgency].flows:
            del self._levels[request.urgency]
