"""Decide which run a key belongs to."""

from dataclasses import dataclass

from trefoilstage.components.keys.messages import ClaimKey, ClaimReply

CLAIM_RETENTION_S = 900.0
MAX_CLAIMS = 20_000

GRANTED = ClaimReply(standing="granted")
CONFLICT = ClaimReply(standing="conflict")


@dataclass(frozen=True, kw_only=True, slots=True)
class Claim:
    """Hold who runs a key, and since when."""

    digest: str
    runner: str
    request: str
    claimed_at: float


class ClaimTable:
    """Hold the claims of the keys whose home this host is, oldest first."""

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

    def answer(self, message: ClaimKey, *, now: float) -> ClaimReply:
        """Grant a key that is free, or whose run its claimant found lost."""
        self._expire(now)
        present = self._claims.get(message.key)
        if present is not None and present.digest != message.digest:
            return CONFLICT
        # Two hosts may find the same run lost. Only the first replaces it; for
        # the second the name no longer fits, and it joins the first one's run.
        if present is not None and message.request != present.request:
            if message.replaces != present.request:
                return ClaimReply(
                    standing="held", runner=present.runner, request=present.request
                )
            del self._claims[message.key]
        self._claims[message.key] = Claim(
            digest=message.digest,
            runner=message.runner,
            request=message.request,
            claimed_at=present.claimed_at
            if present is not None and present.request == message.request
            else now,
        )
        return GRANTED

    def _expire(self, now: float) -> None:
        while self._claims:
            key = next(iter(self._claims))
            is_young = now - self._claims[key].claimed_at < self._retention_s
            if is_young and len(self._claims) < self._max_claims:
                return
            del self._claims[key]
