"""Decide from which engine a target fetches the KV cache of a prompt's prefix; pure.

An engine that gets a prompt can transfer, from another engine, the KV cache of the
prompt's parts that only the other one keeps, instead of processing them. If 10 prompts
a second share a part of 5,382 tokens, processing it takes each engine that does not
keep it 0.11 s, while transferring it takes 1 ms. Load alone can then decide where these
prompts go.
"""

from collections.abc import Sequence
from dataclasses import dataclass, field

from trefoilstage.components.forwarding.models import Engine, TargetEntry

# Transfers queue at both engines, and hosts do not see each other's transfers in time.
# At this share of the processing time, ten queued transfers cost half of processing.
MAX_TRANSFER_SHARE = 0.05
# Processing fewer tokens takes about as long as setting up a transfer.
MIN_FETCHED_TOKENS = 256
SET_UP_S = 0.005
# A transfer that was planned earlier is over, even if its prompt still waits.
MAX_TRANSFER_AGE_S = 1.0
# A first token this long after the send shows that the source may be unreachable.
SLOW_START_S = 2.0
# A cancelled send counts as failed from this age on. Callers leave after 2 s of
# silence, shortly before the send is SLOW_START_S old.
MIN_CANCELLED_WAIT_S = 1.0
SOURCE_EJECTION_S = 5.0


@dataclass(frozen=True, kw_only=True, slots=True)
class TransferCost:
    """Describe the transfer of KV cache between two engines of a service."""

    bytes_per_token: float
    bytes_per_s: float

    def estimate_s(self, n_tokens: int) -> float:
        """Return the seconds of a transfer, including its set-up."""
        return SET_UP_S + n_tokens * self.bytes_per_token / self.bytes_per_s

    def is_low(self, prefill_tokens_per_s: float) -> bool:
        """Return whether transfers cost little compared with processing."""
        transfer_s = self.bytes_per_token / self.bytes_per_s
        return transfer_s * prefill_tokens_per_s <= MAX_TRANSFER_SHARE


@dataclass(frozen=True, kw_only=True, slots=True)
class FetchSource:
    """Describe a target that keeps the first tokens of a prompt."""

    target: TargetEntry
    n_kept_tokens: int


@dataclass(frozen=True, kw_only=True, slots=True)
class PrefixFetch:
    """Describe the planned fetch of a prompt's prefix."""

    source: TargetEntry
    n_tokens: int
    own_s: float  # of this transfer alone
    total_s: float  # including the transfers before it


@dataclass(frozen=True, kw_only=True, slots=True)
class PendingFetch:
    """Describe a fetch whose prompt has no answer yet."""

    number: int
    source: str  # incarnation
    receiver: str  # incarnation
    own_s: float
    planned_at: float


@dataclass(kw_only=True, slots=True)
class TransferTracker:
    """Track this host's fetches, and the sources that made one fail or start late."""

    pending: dict[int, PendingFetch] = field(default_factory=dict)
    ejected_until: dict[str, float] = field(default_factory=dict)  # by incarnation
    n_planned: int = 0

    def add(self, fetch: PrefixFetch, receiver: str, now: float) -> PendingFetch:
        """Add a fetch by the target that receives the prompt."""
        self.n_planned += 1
        pending = PendingFetch(
            number=self.n_planned,
            source=fetch.source.incarnation,
            receiver=receiver,
            own_s=fetch.own_s,
            planned_at=now,
        )
        self.pending[pending.number] = pending
        return pending

    def end(self, fetch: PendingFetch, now: float, *, failed: bool) -> bool:
        """Record the end of a fetch; return whether its source is ejected for it."""
        self.pending.pop(fetch.number, None)
        if not failed and now - fetch.planned_at <= SLOW_START_S:
            return False
        self.ejected_until = {
            source: until for source, until in self.ejected_until.items() if until > now
        }
        self.ejected_until[fetch.source] = now + SOURCE_EJECTION_S
        return True

    def is_usable(self, source: str, now: float) -> bool:
        """Return whether a target, by its incarnation, may be a source."""
        if now < self.ejected_until.get(source, now):
            return False
        return not any(
            item.source == source and now - item.planned_at > SLOW_START_S
            for item in self.pending.values()
        )

    def sum_under_way_s(self, targets: Sequence[str], now: float) -> float:
        """Return the seconds of the transfers that occupy any of some targets."""
        return sum(
            item.own_s
            for item in self.pending.values()
            if now - item.planned_at <= MAX_TRANSFER_AGE_S
            and (item.source in targets or item.receiver in targets)
        )


def get_transfer_cost(engine: Engine | None) -> TransferCost | None:
    """Return the cost of transfers, None if the configuration does not tell it."""
    if engine is None or not engine.kv_bytes_per_token:
        return None
    if not engine.transfer_bytes_per_s:
        return None
    return TransferCost(
        bytes_per_token=engine.kv_bytes_per_token,
        bytes_per_s=engine.transfer_bytes_per_s,
    )


def plan_fetch(
    target: TargetEntry,
    n_cached_tokens: int,
    *,
    prefill_tokens_per_s: float,
    cost: TransferCost,
    sources: Sequence[FetchSource],
    transfers: TransferTracker,
    now: float,
) -> PrefixFetch | None:
    """Return the fetch with which a target gets most of a prompt, None without one."""
    if not cost.is_low(prefill_tokens_per_s):
        return None
    useful = [
        source
        for source in sources
        if source.target.name != target.name
        # One that ended may be listed beside its successor at the same address.
        and source.target.address != target.address
        and source.target.service == target.service
        and source.target.version == target.version
        and source.n_kept_tokens - n_cached_tokens >= MIN_FETCHED_TOKENS
    ]
    if not useful:
        return None

    def get_under_way_s(source: FetchSource) -> float:
        pair = (target.incarnation, source.target.incarnation)
        return transfers.sum_under_way_s(pair, now)

    # Among sources that keep equally much, the least busy one.
    n_kept = max(source.n_kept_tokens for source in useful)
    best = min(
        (source for source in useful if source.n_kept_tokens == n_kept),
        key=get_under_way_s,
    )
    n_tokens = n_kept - n_cached_tokens
    own_s = cost.estimate_s(n_tokens)
    total_s = own_s + get_under_way_s(best)
    if total_s >= n_tokens / prefill_tokens_per_s:
        return None
    return PrefixFetch(
        source=best.target, n_tokens=n_tokens, own_s=own_s, total_s=total_s
    )


def describe_fetch(fetch: PrefixFetch | None) -> dict[str, object]:
    """Return the log fields of a fetch, none without one."""
    if fetch is None:
        return {}
    return {"fetch_from": fetch.source.name, "fetched": fetch.n_tokens}
