"""Keep the totals of what homes have granted to this host; pure.

A grant is a hold that a home has confirmed to the host that requested it.
"""

from collections import defaultdict
from dataclasses import dataclass, field


@dataclass(kw_only=True, slots=True)
class GrantTotals:
    """Count what one incarnation of a home granted to this host for a workspace."""

    spent: int = 0
    held: int = 0

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

    def accept(self, incarnation: str, workspace: str, tokens: int) -> bool:
        """Count a grant; return False if its home's incarnation is sealed."""
        if incarnation in self.sealed:
            return False
        self.totals[incarnation][workspace].held += tokens
        return True

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
