"""Keep the totals of what homes have granted to this host; pure.

A grant is a hold that a home has confirmed to the host that requested it.
"""

from collections import defaultdict
from dataclasses import dataclass, field

from trefoilstage.components.escrow.messages import (
    GrantBasis,
    HomeGrants,
    RestoredAccount,
)
from trefoilstage.components.escrow.restored_record import NO_POSITION


@dataclass(kw_only=True, slots=True)
class GrantTotals:
    """Count what one incarnation of a home granted to this host for a workspace."""

    spent: int = 0
    held: int = 0
    host: str = ""  # of the home
    basis: GrantBasis | None = None  # of the latest grant

    @property
    def used(self) -> int:
        """Return the tokens that were spent or may still be."""
        return self.spent + self.held


@dataclass(kw_only=True, slots=True)
class GrantRegistry:
    """Witness the grants of homes, and refuse the grants of sealed homes.

    Only the home itself knows how many of its drawn tokens it has not granted. After
    it ends, each host that received grants (a witness) seals it: the host reports
    what it received and refuses later grants, including those already in flight.
    All other tokens can then be drawn again.
    """

    totals: dict[str, dict[str, GrantTotals]] = field(
        default_factory=lambda: defaultdict(lambda: defaultdict(GrantTotals))
    )
    sealed: set[str] = field(default_factory=set)
    # By workspace; grants that rely on earlier records are refused.
    min_positions: dict[str, int] = field(default_factory=dict)

    def accept(
        self,
        incarnation: str,
        workspace: str,
        tokens: int,
        *,
        host: str = "",
        basis: GrantBasis | None = None,
    ) -> bool:
        """Count a grant; return False if it is not valid any more.

        Its home's incarnation may be sealed, or its record be from before the store
        came back older, and others have counted the home's grants without this one.
        """
        if incarnation in self.sealed:
            return False
        if basis and basis.position < self.min_positions.get(workspace, NO_POSITION):
            return False
        totals = self.totals[incarnation][workspace]
        totals.held += tokens
        totals.host = host
        if basis and (not totals.basis or basis.position >= totals.basis.position):
            totals.basis = basis
        return True

    def report(self, workspace: str, account: RestoredAccount) -> list[HomeGrants]:
        """Refuse grants that rely on earlier records; return later ones than those."""
        known = self.min_positions.get(workspace, NO_POSITION)
        self.min_positions[workspace] = max(known, account.read_at)
        return [
            HomeGrants(
                host=found.host,
                incarnation=incarnation,
                used=found.used,
                drawn=found.basis.drawn,
                position=found.basis.position,
            )
            for incarnation, totals in self.totals.items()
            if (found := totals.get(workspace)) is not None
            and found.basis is not None
            and found.basis.position > account.written_at
        ]

    def settle(self, incarnation: str, workspace: str, tokens: int, spent: int) -> None:
        """Replace a request's held tokens by what it spent of them."""
        totals = self.totals[incarnation][workspace]
        totals.held -= tokens
        totals.spent += spent

    def seal(self, incarnation: str) -> dict[str, int]:
        """Refuse an incarnation's later grants; return what was used, by workspace."""
        self.sealed.add(incarnation)
        return {
            workspace: totals.used
            for workspace, totals in self.totals[incarnation].items()
        }
