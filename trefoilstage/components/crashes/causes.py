"""Find the requests and prompt parts that explain why targets crashed; pure.

Expected load: thousands of crashes, most of them of harmless requests that ran beside
the cause, and of targets that stop for unrelated reasons.
"""

from collections import Counter
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from itertools import chain

from trefoilstage.components.crashes.models import Crash

# Two targets may crash under a harmless request by chance. From three on, the crashes
# have a cause.
MIN_CRASHED_TARGETS = 3
# A blocked part may have crashed some targets together with another part, which then
# explains these.
MIN_TARGETS_TO_STAY = 2
# Targets that crash together, as those of a rack do, count as one.
SAME_MOMENT_MS = 100
# Crashes of repeats of one request are explained by the request.
MIN_REQUESTS_WITH_PART = 2


@dataclass(frozen=True, kw_only=True, slots=True)
class Causes:
    """Represent what requests must not hold to be sent to targets."""

    fingerprints: frozenset[str] = frozenset()
    # A request that holds all parts of a set is blocked. A set has several parts while
    # all requests that crashed targets hold all of them.
    part_sets: frozenset[frozenset[str]] = frozenset()

    @property
    def n_causes(self) -> int:
        """Return how many requests and sets of parts are blocked."""
        return len(self.fingerprints) + len(self.part_sets)

    def find_parts(self, parts: frozenset[str]) -> frozenset[str] | None:
        """Return the blocked set that a prompt's parts include, None if none."""
        return next((item for item in self.part_sets if item <= parts), None)

    def includes(self, fingerprint: str, parts: frozenset[str]) -> bool:
        """Return whether a request is blocked."""
        return fingerprint in self.fingerprints or bool(self.find_parts(parts))


NO_CAUSES = Causes()


@dataclass(kw_only=True, slots=True)
class Suspect:
    """Describe the crashes under one request, or under requests with one part."""

    name: str
    is_part: bool
    # When each target crashed, in Unix ms; None if that is unknown.
    crashed_at: dict[str, int | None] = field(default_factory=dict)
    fingerprints: set[str] = field(default_factory=set)
    common_parts: frozenset[str] = frozenset()

    def add(self, crash: Crash, parts: frozenset[str]) -> None:
        """Add a crash under a request with the given parts."""
        self.common_parts = self.common_parts & parts if self.fingerprints else parts
        self.fingerprints.add(crash.fingerprint)
        known = self.crashed_at.get(crash.target)
        at_ms = crash.at_ms or None
        self.crashed_at[crash.target] = (
            min(known, at_ms) if known and at_ms else known or at_ms
        )

    def count_moments(self) -> int:
        """Return the number of different moments at which targets crashed."""
        known = sorted(at_ms for at_ms in self.crashed_at.values() if at_ms)
        n_moments = len(self.crashed_at) - len(known)
        moment_ms = float("-inf")
        for at_ms in known:
            if at_ms - moment_ms > SAME_MOMENT_MS:
                n_moments += 1
                moment_ms = at_ms
        return n_moments

    def may_be_cause(self, min_targets: int = MIN_CRASHED_TARGETS) -> bool:
        """Return whether the crashes are too many for a coincidence."""
        if not self.is_part:
            return len(self.crashed_at) >= MIN_CRASHED_TARGETS
        return (
            len(self.fingerprints) >= MIN_REQUESTS_WITH_PART
            and self.count_moments() >= min_targets
        )

    def explain(self, targets: Iterable[str]) -> None:
        """Remove the crashes of targets that another suspect explains."""
        for target in targets:
            self.crashed_at.pop(target, None)

    def rank(self) -> tuple[int, bool, int, str]:
        """Return a key that is highest for the suspect that explains most."""
        return len(self.crashed_at), self.is_part, len(self.common_parts), self.name


def find_causes(
    parts_by_crash: Mapping[Crash, frozenset[str]], previous: Causes = NO_CAUSES
) -> Causes:
    """Return the requests and parts that explain why targets crashed.

    `previous` are those that were blocked before the last crashes.

    The suspect under which most targets crashed explains those crashes, and only the
    remaining ones count against others. Otherwise, harmless requests and parts that
    were interrupted together with a crashing one would be blocked as well.
    """
    suspects = [
        item for item in collect_suspects(parts_by_crash) if item.may_be_cause()
    ]
    suspects = [item for item in suspects if not is_refined(item, suspects)]
    fingerprints: set[str] = set()
    part_sets: set[frozenset[str]] = set()
    while suspects:
        likeliest = max(suspects, key=Suspect.rank)
        if likeliest.is_part:
            part_sets.add(likeliest.common_parts)
        else:
            fingerprints.add(likeliest.name)
        explained = tuple(likeliest.crashed_at)
        for suspect in suspects:
            suspect.explain(explained)
        suspects = [
            item
            for item in suspects
            if item.may_be_cause(get_min_targets(item, previous))
        ]
    return Causes(fingerprints=frozenset(fingerprints), part_sets=frozenset(part_sets))


def get_min_targets(suspect: Suspect, previous: Causes) -> int:
    """Return how many crashes must remain that no other suspect explains."""
    is_blocked = suspect.common_parts in previous.part_sets
    return MIN_TARGETS_TO_STAY if is_blocked else MIN_CRASHED_TARGETS


def is_refined(general: Suspect, suspects: Iterable[Suspect]) -> bool:
    """Return whether larger sets of parts explain all crashes under a part.

    Two crashing parts would otherwise look like one, if all requests share another.
    """
    covered: set[str] = set()
    for suspect in suspects:
        if general.is_part and general.common_parts < suspect.common_parts:
            covered.update(suspect.crashed_at)
    return covered >= general.crashed_at.keys()


def collect_suspects(
    parts_by_crash: Mapping[Crash, frozenset[str]],
) -> list[Suspect]:
    """Return the requests and the parts with enough crashes to be a cause."""
    n_by_request = Counter(crash.fingerprint for crash in parts_by_crash)
    n_by_part = Counter(chain.from_iterable(parts_by_crash.values()))
    requests = make_suspects(n_by_request, is_part=False)
    with_part = make_suspects(n_by_part, is_part=True)
    for crash, parts in parts_by_crash.items():
        if crash.fingerprint in requests:
            requests[crash.fingerprint].add(crash, parts)
        for part in parts & with_part.keys():
            with_part[part].add(crash, parts)
    return [*requests.values(), *with_part.values()]


def make_suspects(n_crashes: Mapping[str, int], *, is_part: bool) -> dict[str, Suspect]:
    """Return a suspect without crashes for each name that has enough of them."""
    return {
        name: Suspect(name=name, is_part=is_part)
        for name, number in n_crashes.items()
        if number >= MIN_CRASHED_TARGETS
    }
