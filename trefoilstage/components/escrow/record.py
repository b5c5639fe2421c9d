"""Define an account's record in the store; pure."""

from dataclasses import dataclass, field, replace

from trefoilstage.const import MAX_RECORD_BYTES
from trefoilstage.helpers.codec import Codec
from trefoilstage.helpers.fields import Name, Tokens


@dataclass(frozen=True, kw_only=True, slots=True)
class Holder:
    """Hold what one incarnation of a host drew and to whom it may grant of it."""

    host: Name
    drawn: Tokens
    spent: Tokens
    # The part of what it drew that it doesn't use while its host's lock is closed.
    locked: Tokens = 0
    # Names the list of incarnations that may have got grants; they are its witnesses.
    roster: Name = ""
    # What was granted to incarnations that are served no more.
    used_by_former: Tokens = 0


@dataclass(frozen=True, kw_only=True, slots=True)
class AccountRecord:
    """Hold all draws on a workspace's prepaid tokens, by incarnation."""

    holders: dict[Name, Holder] = field(default_factory=dict)
    retired_drawn: Tokens = 0
    retired_spent: Tokens = 0

    @property
    def drawn(self) -> int:
        """Return all tokens that hosts have drawn."""
        return self.retired_drawn + sum(item.drawn for item in self.holders.values())

    @property
    def spent(self) -> int:
        """Return the tokens known to be spent."""
        return self.retired_spent + sum(item.spent for item in self.holders.values())

    def set_holder(self, incarnation: str, holder: Holder) -> "AccountRecord":
        """Return the record with what an incarnation has drawn in all."""
        return replace(self, holders={**self.holders, incarnation: holder})

    def retire(self, incarnation: str, used: "Used") -> "AccountRecord":
        """Return the record without an ended incarnation.

        What it used at most counts as drawn for good, also where only part of it was
        really spent, for requests that it granted may have used all of it up.
        """
        holders = dict(self.holders)
        holder = holders.pop(incarnation)
        drawn = min(used.tokens, holder.drawn)
        return replace(
            self,
            holders=holders,
            retired_drawn=self.retired_drawn + drawn,
            retired_spent=self.retired_spent
            + (drawn if used.witnessed else min(holder.spent, drawn)),
        )


@dataclass(frozen=True, kw_only=True, slots=True)
class Used:
    """Tell what an ended home's grants used at most.

    Without witnesses that is all it drew, but for what it proved not to have touched.
    """

    tokens: int
    witnessed: bool


ACCOUNT_CODEC: Codec[AccountRecord] = Codec(
    family=AccountRecord, max_bytes=MAX_RECORD_BYTES
)
