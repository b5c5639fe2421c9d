"""Define an account's record in the store; pure.

The record counts what each incarnation of a host, a holder, has drawn of a workspace's
prepaid tokens. An ended holder is retired: its usage goes into the retired totals.
"""

from dataclasses import dataclass, field, replace

from trefoilstage.const import MAX_RECORD_BYTES
from trefoilstage.helpers.codec import Codec
from trefoilstage.helpers.field_types import ShortText, UInt53


@dataclass(frozen=True, kw_only=True, slots=True)
class Holder:
    """Describe what one incarnation drew and which hosts may get grants of it."""

    host: ShortText
    drawn: UInt53
    spent: UInt53
    # The part of `drawn` that is not used while the host's lock is closed.
    locked: UInt53 = 0
    # The name of the roster: the incarnations that may have got grants, its witnesses.
    roster: ShortText = ""
    # What was used by incarnations that are no longer on the roster.
    used_by_former: UInt53 = 0
    # Rises with each write of the incarnation, to tell its newer state from one in an
    # older copy of the store. 0 if unknown: hosts of earlier builds write none, and
    # drop it from the records that they copy.
    revision: UInt53 = 0


@dataclass(frozen=True, kw_only=True, slots=True)
class AccountRecord:
    """Represent all draws on a workspace's prepaid tokens, by incarnation."""

    holders: dict[ShortText, Holder] = field(default_factory=dict)
    retired_drawn: UInt53 = 0
    retired_spent: UInt53 = 0
    # How often the store had come back from a copy when the record was written. None
    # if unknown: hosts of earlier builds write none.
    era: UInt53 | None = None

    @property
    def drawn(self) -> int:
        """Return all tokens that hosts have drawn."""
        return self.retired_drawn + sum(item.drawn for item in self.holders.values())

    @property
    def spent(self) -> int:
        """Return the tokens known to be spent."""
        return self.retired_spent + sum(item.spent for item in self.holders.values())

    def set_holder(self, incarnation: str, holder: Holder) -> "AccountRecord":
        """Return the record with an incarnation's totals replaced."""
        return replace(self, holders={**self.holders, incarnation: holder})

    def retire(self, incarnation: str, usage: "HolderUsage") -> "AccountRecord":
        """Return the record without an ended incarnation.

        The most that it may have used counts as drawn permanently, even if less was
        spent, because the requests that it granted to may have used all of it.
        """
        holders = dict(self.holders)
        holder = holders.pop(incarnation)
        drawn = min(usage.tokens, holder.drawn)
        return replace(
            self,
            holders=holders,
            retired_drawn=self.retired_drawn + drawn,
            retired_spent=self.retired_spent
            + (drawn if usage.witnessed else min(holder.spent, drawn)),
        )


@dataclass(frozen=True, kw_only=True, slots=True)
class HolderUsage:
    """Describe the most tokens that an ended home's grants may have used.

    Without witnesses, that is all it drew except the tokens proven to be unused.
    """

    tokens: int
    witnessed: bool


ACCOUNT_CODEC: Codec[AccountRecord] = Codec(
    message_type=AccountRecord, max_bytes=MAX_RECORD_BYTES
)
