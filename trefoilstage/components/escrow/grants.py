"""Remember what homes have granted to this host; pure."""

from collections import defaultdict
from dataclasses import dataclass, field


@dataclass(kw_only=True, slots=True)
class GrantTotals:
    """Hold what one incarnation granted to this host for one workspace."""

    spent: int = 0
    held: int = 0

    @property
    def used(self) -> int:
        """Return what was spent, or may still be."""
        return self.spent + self.held


@dataclass(kw_only=True, slots=True)
class GrantBook:
    """Witness the grants of homes, and refuse those of a home that has ended.

    When a home ends, what it had drawn and not granted is known to nobody else. Each
    host it granted to says what that was and takes no grant of it any more, also none
    that is still on its way. The rest can then be drawn again.
    """

    totals: dict[str, dict[str, GrantTotals]] = field(
        default_factory=lambda: defaultdict(lambda: defaultdict(GrantTotals))
    )
    sealed: set[str] = field(default_factory=set)

    def accept(self, incarnation: str, workspace: str, tokens: int) -> bool:
        """Take a grant, unless its home was sealed meanwhile."""
        if incarnation in self.sealed:
            return False
        self.totals[incarnation][workspace].held += tokens
        return True

    def settle(self, incarnation: str, workspace: str, tokens: int, spent: int) -> None:
        """Count what a request spent of its grant."""
        totals = self.totals[incarnation][workspace]
        totals.held -= tokens
        totals.spent += spent

    def seal(self, incarnation: str) -> dict[str, int]:
        """Refuse an incarnation's grants from now on; return what was used of it."""
        self.sealed.add(incarnation)
        return {
            workspace: totals.used
            for workspace, totals in self.totals[incarnation].items()
        }
