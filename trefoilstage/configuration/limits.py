"""Work out the limit of each account from the configuration."""

from collections.abc import Iterator
from dataclasses import dataclass

from trefoilstage.configuration.schema import Configuration
from trefoilstage.const import BUDGET_ACCOUNT_PREFIX, SITE_ACCOUNT_PREFIX


@dataclass(frozen=True, kw_only=True, slots=True)
class AccountLimit:
    """Hold an account's limit and the revision that last changed it."""

    limit: int
    revision: int


def list_limits(configuration: Configuration) -> Iterator[tuple[str, int]]:
    """Yield each account and its limit, in tokens or watts."""
    for name, budget in configuration.budgets.items():
        yield f"{BUDGET_ACCOUNT_PREFIX}{name}", budget.tokens
    idle = dict.fromkeys(configuration.sites, 0)
    for target in configuration.targets.values():
        idle[target.site] += target.idle_watts
    for name, site in configuration.sites.items():
        yield f"{SITE_ACCOUNT_PREFIX}{name}", max(0, site.ceiling_watts - idle[name])


def update_limits(
    limits: dict[str, AccountLimit], configuration: Configuration, revision: int
) -> None:
    """Take over the limits that changed; an account that is gone has none left.

    Each limit carries the revision that changed it, not the newest one. So an
    unchanged limit is not written again, while a limit that went up and back
    down again still outdates the late record of the revision in between.
    """
    present = dict(list_limits(configuration))
    for account, limit in present.items():
        known = limits.get(account)
        if known is None or known.limit != limit:
            limits[account] = AccountLimit(limit=limit, revision=revision)
    for account, known in limits.items():
        if account not in present and known.limit != 0:
            limits[account] = AccountLimit(limit=0, revision=revision)
