"""Describe the kinds of seeds: which parts are active, besides those of all seeds."""

import random
from enum import StrEnum

from standins.platform import N_SLOTS
from tests.promises.fleet import PlatformFleet
from tests.soak.callers import SURGE_KEY, Callers
from tests.soak.faults import EVACUATED_DATA_CENTER, EVACUATED_TARGET, Fault, Faults


class SeedKind(StrEnum):
    """Name the parts that are active in a seed, besides those of all seeds."""

    PLAIN = "plain"
    QUEUE = "queue"  # full targets refuse
    CRASH_QUEUE = "crash_queue"  # full targets crash
    FETCH = "fetch"
    STOPS = "stops"  # only planned work, and targets that fall silent


DRAWN_KINDS = [kind for kind in SeedKind if kind is not SeedKind.STOPS]
N_HOSTS = 3
# Spent within a seed's duration, so that requests without budget are tested too.
PREPAID_TOKENS = 50_000
COLD_REQUESTS_PER_S = 4.0
# In seeds with the admission queue.
SLOTS = {SeedKind.QUEUE: 4, SeedKind.CRASH_QUEUE: 4, SeedKind.FETCH: 2}
SCARCE_PROCESSING_S = 0.1
SURGE_S = 2.0
SURGE_PREPAID_TOKENS = 10_000_000
# In seeds with fetches. Processing a shared part takes longer than fetching it.
FETCH_ENGINE: dict[str, object] = {
    "kv_tokens": 40_000,
    "kv_bytes": 1,
    "link_mbps": 1_000_000,
}
FETCH_PROCESSING_S = 0.05
N_FETCH_SUBJECTS = 12
FETCH_SUBJECT_TOKENS = 4_000
PREPAID = {SeedKind.FETCH: 2_000_000, SeedKind.STOPS: 100_000_000}
N_CALLERS = {SeedKind.STOPS: 24}
# Streams take 3 s, so that hosts still run late in their grace time.
STOPS_EVENT_INTERVAL_S = 0.25
# Of the faults of a kind of seed, compared with one of the others.
KIND_FAULT_WEIGHT = 6


def draw_kind(seed: int) -> SeedKind:
    """Return a seed's kind, drawn apart from its faults so that those stay as is."""
    return random.Random(f"kind of {seed}").choice(DRAWN_KINDS)


def make_fleet(kind: SeedKind) -> PlatformFleet:
    """Return the fleet of a kind of seed."""
    has_queue = kind in (SeedKind.QUEUE, SeedKind.CRASH_QUEUE)
    surging = {"name": "surging", "api_keys": [SURGE_KEY]}
    return PlatformFleet(
        n_hosts=N_HOSTS,
        n_targets=3,
        n_versions=1 if kind is SeedKind.FETCH else 2,
        prepaid=PREPAID.get(kind, PREPAID_TOKENS),
        use_proxies=kind is not SeedKind.STOPS,
        use_target_proxies=kind is not SeedKind.STOPS,
        target_data_centers={EVACUATED_TARGET: EVACUATED_DATA_CENTER},
        cold_requests_per_s=COLD_REQUESTS_PER_S,
        contracts="pressure" if has_queue else "",
        n_slots=SLOTS.get(kind, N_SLOTS),
        engine=FETCH_ENGINE if kind is SeedKind.FETCH else {},
        more_tenants=[{**surging, "prepaid": SURGE_PREPAID_TOKENS}] * has_queue,
    )


def set_kind(kind: SeedKind, fleet: PlatformFleet, faults: Faults, c: Callers) -> None:
    """Set the targets, the callers and the added faults of a kind of seed."""

    async def surge() -> None:
        await c.surge(SURGE_S)

    added: list[Fault] = []
    if kind is SeedKind.FETCH:
        c.n_subjects = N_FETCH_SUBJECTS
        c.subject_tokens = c.prompt_tokens = FETCH_SUBJECT_TOKENS
        added = [faults.break_source, faults.remove_source]
    elif kind is SeedKind.STOPS:
        c.look_method = "POST"  # unlike GET, never sent again by the callers' library
    elif kind is not SeedKind.PLAIN:
        added = [surge]
    faults.more_faults = added * KIND_FAULT_WEIGHT
    for target in fleet.targets:
        if kind is SeedKind.FETCH:
            target.processing_s = FETCH_PROCESSING_S
        elif kind is SeedKind.STOPS:
            target.event_interval_s = STOPS_EVENT_INTERVAL_S
            target.processing_s = SCARCE_PROCESSING_S
        elif kind is not SeedKind.PLAIN:
            target.processing_s = SCARCE_PROCESSING_S
            target.max_running = fleet.n_slots
            target.crashes_above_limit = kind is SeedKind.CRASH_QUEUE
