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


def list_site_limits(configuration: Configuration) -> Iterator[tuple[str, int]]:
    """Yield each site's account and the watts beyond what idle targets take."""
    idle = dict.fromkeys(configuration.sites, 0)
    for target in configuration.targets.values():
        idle[target.site] += target.idle_watts
    for name, site in configuration.sites.items():
        yield f"{SITE_ACCOUNT_PREFIX}{name}", max(0, site.ceiling_watts - idle[name])


def update_limits(
    limits: dict[str, AccountLimit],
    before: Configuration,
    after: Configuration,
    revision: int,
) -> None:
    """Take over the limits that changed; an account that is gone has none left.

    Each limit carries the revision that changed it, not the newest one. So an
    unchanged limit is not written again, while a limit that went up and back
    down again still outdates the late record of the revision in between.
    """
    wanted = {
        f"{BUDGET_ACCOUNT_PREFIX}{name}": budget.tokens
        for name, budget in after.budgets.items()
        if before.budgets.get(name) is not budget
    }
    wanted.update(list_site_limits(after))
    budgets_gone = sorted(before.budgets.keys() - after.budgets.keys())
    sites_gone = sorted(before.sites.keys() - after.sites.keys())
    wanted.update({f"{BUDGET_ACCOUNT_PREFIX}{name}": 0 for name in budgets_gone})
    wanted.update({f"{SITE_ACCOUNT_PREFIX}{name}": 0 for name in sites_gone})
    for account, limit in wanted.items():
        known = limits.get(account)
        if known is None or known.limit != limit:
            limits[account] = AccountLimit(limit=limit, revision=revision)
