"""Decide which host runs an idempotency key.

The home of a key is the first live host, in rendezvous order for the key, that replies.
The home stores a claim, which names the run that all requests with the key join.
"""

from dataclasses import dataclass

from trefoilstage.components.keys.messages import ClaimKey, ClaimReply

CLAIM_RETENTION_S = 900.0
MAX_CLAIMS = 20_000

GRANTED_REPLY = ClaimReply(standing="granted")
CONFLICT_REPLY = ClaimReply(standing="conflict")


@dataclass(frozen=True, kw_only=True, slots=True)
class Claim:
    """Describe which host and request run a key, and since when."""

    digest: str
    runner: str
    request: str
    claimed_at: float


class ClaimTable:
    """Store the claims of the keys whose home this host is, oldest first."""

    def __init__(
        self,
        *,
        retention_s: float = CLAIM_RETENTION_S,
        max_claims: int = MAX_CLAIMS,
    ) -> None:
        self._retention_s = retention_s
        self._max_claims = max_claims
        self._claims: dict[str, Claim] = {}

    def __len__(self) -> int:
        return len(self._claims)

    def handle_claim(self, message: ClaimKey, *, now: float) -> ClaimReply:
        """Grant a key that is free, or whose current run the sender reports as lost."""
        self._drop_expired_and_excess(now)
        current = self._claims.get(message.key)
        if current is not None and current.digest != message.digest:
            return CONFLICT_REPLY
        # Two hosts may find the same run lost. Only the first one replaces it. The
        # second names a run that is no longer current, so it joins the new run.
        if current is not None and message.request != current.request:
            if message.replaces != current.request:
                return ClaimReply(
                    standing="held", runner=current.runner, request=current.request
                )
            del self._claims[message.key]
        self._claims[message.key] = Claim(
            digest=message.digest,
            runner=message.runner,
            request=message.request,
            claimed_at=current.claimed_at
            if current is not None and current.request == message.request
            else now,
        )
        return GRANTED_REPLY

    def _drop_expired_and_excess(self, now: float) -> None:
        while self._claims:
            key = next(iter(self._claims))
            is_retained = now - self._claims[key].claimed_at < self._retention_s
            if is_retained and len(self._claims) < self._max_claims:
                return
            del self._claims[key]
