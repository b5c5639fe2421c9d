"""Compute the limit of each account from the configuration.

A budget's limit is in tokens, a site's in watts.
"""

from collections.abc import Iterator
from dataclasses import dataclass

from trefoilstage.configuration.schema import Configuration
from trefoilstage.const import BUDGET_ACCOUNT_PREFIX, SITE_ACCOUNT_PREFIX


@dataclass(frozen=True, kw_only=True, slots=True)
class AccountLimit:
    """Describe an account's limit and the revision that last changed it."""

    limit: int
    revision: int


def list_site_limits(configuration: Configuration) -> Iterator[tuple[str, int]]:
    """Yield each site's account and its watts beyond those of its idle targets."""
    idle_watts = dict.fromkeys(configuration.sites, 0)
    for target in configuration.targets.values():
        idle_watts[target.site] += target.idle_watts
    for name, site in configuration.sites.items():
        yield (
            f"{SITE_ACCOUNT_PREFIX}{name}",
            max(0, site.ceiling_watts - idle_watts[name]),
        )


def update_limits(
    limits: dict[str, AccountLimit],
    before: Configuration,
    after: Configuration,
    revision: int,
) -> None:
    """Store the limits that changed; a removed account's limit becomes 0.

    Each limit has the revision that changed it, not the newest one. An
    unchanged limit is therefore not written again, and a limit that was raised and
    lowered again still supersedes a delayed record of the revision in between.
    """
    new_limits = {
        f"{BUDGET_ACCOUNT_PREFIX}{name}": budget.tokens
        for name, budget in after.budgets.items()
        if before.budgets.get(name) is not budget
    }
    new_limits.update(list_site_limits(after))
    removed_budgets = sorted(before.budgets.keys() - after.budgets.keys())
    removed_sites = sorted(before.sites.keys() - after.sites.keys())
    new_limits.update({f"{BUDGET_ACCOUNT_PREFIX}{name}": 0 for name in removed_budgets})
    new_limits.update({f"{SITE_ACCOUNT_PREFIX}{name}": 0 for name in removed_sites})
    for account, limit in new_limits.items():
        current_limit = limits.get(account)
        if current_limit is None or current_limit.limit != limit:
            limits[account] = AccountLimit(limit=limit, revision=revision)
