"""Tell crashes that overload explains from others, by what ran at the target; pure.

A target that had as many requests under way as it has slots may have crashed because of
their number. No host alone sees all of them, so each reports how many of its own the
target cut.
"""

from collections import OrderedDict, deque
from collections.abc import Callable
from dataclasses import replace

from trefoilstage.components.crashes.completed_runs import Run
from trefoilstage.components.crashes.models import (
    TargetLoad,
    get_target_name,
    shorten_target,
)

# Limits the memory of a host.
MAX_TARGETS = 4_096
MAX_STARTS = 64  # of a target
# The connections that a crashed target cuts end within this time.
CUT_TOGETHER_S = 0.25
# Hosts notice a crash within this time of each other. A target takes longer to restart.
SAME_CRASH_MS = 250
# All hosts in touch have reported a crash after this time. A report takes a few ms,
# on a busy machine up to 0.1 s.
SETTLE_S = 0.25


def count_none(target: str) -> int:
    """Return that no requests are known at a target."""
    return 0


class TargetLoads:
    """Keep how many requests targets had under way when they stopped."""

    def __init__(self) -> None:
        # By target and host.
        self._loads: OrderedDict[str, dict[str, TargetLoad]] = OrderedDict()
        # Where targets are reached, by name, as far as this host sent requests there.
        self._addresses: OrderedDict[str, str] = OrderedDict()
        # When each start was first seen to have crashed, by the address or the name.
        self._at_ms: OrderedDict[str, dict[str, int]] = OrderedDict()
        # Whether hosts may still report their requests at a target that stopped.
        self._is_open: OrderedDict[str, bool] = OrderedDict()

    def add(self, load: TargetLoad) -> bool:
        """Add what a host knows; return whether it is new."""
        self.add_time(load.target, load.at_ms)
        loads = self._loads.setdefault(load.target, {})
        known = loads.get(load.host)
        if known and (known.n_own, known.n_all) >= (load.n_own, load.n_all):
            return False
        loads[load.host] = load
        if len(self._loads) > MAX_TARGETS:
            self._loads.popitem(last=False)
        return True

    def set_address(self, target: str, address: str) -> None:
        """Learn where a target is reached, as its next start may have another name."""
        name = get_target_name(target)
        if self._addresses.get(name) == address:
            return
        self._addresses[name] = address
        if len(self._addresses) > MAX_TARGETS:
            self._addresses.popitem(last=False)
        if name in self._at_ms:
            self._at_ms.setdefault(address, {}).update(self._at_ms.pop(name))

    def find_crash(self, target: str, since_ms: float) -> str | None:
        """Return the first crash from a time on of what is reached as a target is."""
        times = self._at_ms.get(self._get_group(target), {})
        later = [(at_ms, start) for start, at_ms in times.items() if at_ms >= since_ms]
        return min(later)[1] if later else None

    def _get_group(self, target: str) -> str:
        name = get_target_name(target)
        return self._addresses.get(name, name)

    def add_time(self, target: str, at_ms: int) -> None:
        """Add when a host noticed that a target had crashed."""
        if not at_ms:
            return
        times = self._at_ms.setdefault(self._get_group(target), {})
        times[target] = min(at_ms, times.get(target, at_ms))
        if len(times) > MAX_STARTS:
            del times[next(iter(times))]
        if len(self._at_ms) > MAX_TARGETS:
            self._at_ms.popitem(last=False)

    def get_at_ms(self, target: str) -> int | None:
        """Return when a target was first seen to have crashed, None if unknown."""
        return self._at_ms.get(self._get_group(target), {}).get(target)

    def list_aliases(self, target: str) -> list[str]:
        """Return the starts by which hosts name one crash of a target, sorted.

        Hosts that read entries late take a later start for the one that they know, also
        if it has another name.
        """
        times = self._at_ms.get(self._get_group(target), {})
        at_ms = times.get(target)
        if at_ms is None:
            return [target]
        return sorted(
            other
            for other, other_ms in times.items()
            if abs(other_ms - at_ms) <= SAME_CRASH_MS
        )

    def open(self, target: str) -> bool:
        """Wait for reports of a target's requests; return False if it did already."""
        if target in self._is_open:
            return False
        self._is_open[target] = True
        if len(self._is_open) > MAX_TARGETS:
            self._is_open.popitem(last=False)
        return True

    def close(self, target: str) -> None:
        """Stop waiting for reports of a target's requests."""
        if target in self._is_open:
            self._is_open[target] = False

    def count_running(self, target: str) -> int:
        """Return how many requests a target had under way, as far as known."""
        loads = self._list_loads(target)
        n_own: dict[str, int] = {}
        for load in loads:
            n_own[load.host] = max(load.n_own, n_own.get(load.host, 0))
        n_all = max((load.n_all for load in loads), default=0)
        return max(n_all, sum(n_own.values()))

    def is_overloaded(self, target: str) -> bool:
        """Return whether as many requests were under way as the target has slots."""
        n_slots = max((load.n_slots for load in self._list_loads(target)), default=0)
        return 0 < n_slots <= self.count_running(target)

    def sum_loads(self, target: str) -> TargetLoad | None:
        """Return the load of a target that was overloaded, None for any other."""
        if not self.is_overloaded(target):
            return None
        return replace(
            self._list_loads(target)[0],
            target=target,
            n_all=self.count_running(target),
        )

    def is_firm(self, target: str) -> bool:
        """Return whether a crash of the target is not explained by overload."""
        is_open = any(self._is_open.get(item) for item in self.list_aliases(target))
        return not (is_open or self.is_overloaded(target))

    def _list_loads(self, target: str) -> list[TargetLoad]:
        return [
            load
            for alias in self.list_aliases(target)
            for load in self._loads.get(alias, {}).values()
        ]


class CutRequests:
    """Count this host's requests that targets cut together."""

    def __init__(self, *, host: str, count_requests: Callable[[str], int]) -> None:
        self._host = host
        self._count_requests = count_requests  # of all hosts at a target
        # When a target cut a request, and how many were under way there by then.
        self._cuts: deque[tuple[float, str, int]] = deque()

    def add(self, target: str, now: float) -> None:
        """Add a request that a target cut."""
        self._cuts.append((now, target, self._count_requests(target)))
        while now - self._cuts[0][0] > CUT_TOGETHER_S:
            self._cuts.popleft()

    def make_load(
        self, run: Run, start: str, now: float, at_ms: int
    ) -> TargetLoad | None:
        """Return what this host knows of a start of a run's target that stopped.

        None if the target's slots are unknown.
        """
        counts = [
            n_all
            for cut_at, other, n_all in self._cuts
            if other == run.target and now - cut_at <= CUT_TOGETHER_S
        ]
        if not run.n_slots:
            return None
        return TargetLoad(
            target=shorten_target(start),
            host=self._host,
            n_own=len(counts),
            n_all=max(counts, default=0),
            n_slots=run.n_slots,
            at_ms=at_ms,
        )
