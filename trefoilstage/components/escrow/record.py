"""Define an account's record in the store; pure."""

from dataclasses import dataclass, field, replace

from trefoilstage.const import MAX_RECORD_BYTES
from trefoilstage.helpers.codec import Codec
from trefoilstage.ledger.records import Name, Tokens


@dataclass(frozen=True, kw_only=True, slots=True)
class Holder:
    """Hold what one incarnation of a host drew and what it spent of it."""

    incarnation: Name
    drawn: Tokens
    spent: Tokens


@dataclass(frozen=True, kw_only=True, slots=True)
class AccountRecord:
    """Hold all draws on a workspace's prepaid tokens."""

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

    def get_drawn(self, host: str, incarnation: str) -> int:
        """Return what an incarnation has drawn."""
        holder = self.holders.get(host)
        if holder is None or holder.incarnation != incarnation:
            return 0
        return holder.drawn

    def set_holder(self, host: str, holder: Holder) -> "AccountRecord":
        """Return the record with what an incarnation has drawn in all.

        A host's earlier incarnation has ended. What it drew counts as spent, for
        requests that it sent may have used it up.
        """
        known = self.holders.get(host)
        record = self
        if known is not None and known.incarnation != holder.incarnation:
            record = replace(
                self,
                retired_drawn=self.retired_drawn + known.drawn,
                retired_spent=self.retired_spent + known.spent,
            )
        return replace(record, holders={**self.holders, host: holder})


ACCOUNT_CODEC: Codec[AccountRecord] = Codec(
    family=AccountRecord, max_bytes=MAX_RECORD_BYTES
)
