"""Carry the configuration in force to the ledgers."""

import random
from collections.abc import Iterator

from mode import Service

from trefoilstage.blackboard import Blackboard
from trefoilstage.components.log_client.streams import Streams
from trefoilstage.const import BUDGET_ACCOUNT_PREFIX, SITE_ACCOUNT_PREFIX
from trefoilstage.helpers.events import Event, log_event
from trefoilstage.ledger.records import SetLimit
from trefoilstage.ledger.state import AccountState
from trefoilstage.timer import TimerService

CHECK_S = 0.1
MAX_TICKS_BEHIND = 10


class ConfigurationController(Service):  # type: ignore[misc]
    """Start ledgers and set account limits as the configuration asks."""

    def __init__(
        self,
        *,
        blackboard: Blackboard,
        streams: Streams,
        timer: TimerService,
        generator: random.Random,
    ) -> None:
        super().__init__()
        self._blackboard = blackboard
        self._streams = streams
        self._timer = timer
        self._generator = generator
        self._revision = -1
        self._ticks_until_sync = 0

    async def on_start(self) -> None:
        """Start watching the configuration."""
        self._unsubscribe = self._timer.subscribe(
            name="configuration", interval_s=CHECK_S, callback=self._check
        )

    async def on_stop(self) -> None:
        """Stop watching the configuration."""
        self._unsubscribe()

    async def _check(self) -> None:
        revision = self._blackboard.config.revision
        if revision < 0:
            return
        if revision != self._revision:
            self._revision = revision
            await self._streams.start_ledgers()
            log_event(Event.CONFIG_IN_FORCE, revision=revision)
            # All hosts see the change at once; a random delay lets one of
            # them write the limits and the others find nothing to do.
            self._ticks_until_sync = self._generator.randrange(MAX_TICKS_BEHIND)
        if self._ticks_until_sync > 0:
            self._ticks_until_sync -= 1
            return
        if self._streams.is_caught_up():
            self._sync_limits()
            self._ticks_until_sync = MAX_TICKS_BEHIND

    def _sync_limits(self) -> None:
        revision = self._blackboard.config.revision
        for account, limit in self._list_limits():
            number = self._streams.pick_number(account)
            present = self._blackboard.ledgers[number].accounts.get(
                account, AccountState()
            )
            if present.revision < revision and (
                present.limit != limit or present.revision < 0
            ):
                record = SetLimit(account=account, limit=limit, revision=revision)
                self._streams.submit_ledger(number, record)

    def _list_limits(self) -> Iterator[tuple[str, int]]:
        configuration = self._blackboard.configuration
        for name, budget in configuration.budgets.items():
            yield f"{BUDGET_ACCOUNT_PREFIX}{name}", budget.tokens
        for name, site in configuration.sites.items():
            idle = sum(
                target.idle_watts
                for target in configuration.targets.values()
                if target.site == name
            )
            limit = max(0, site.ceiling_watts - idle)
            yield f"{SITE_ACCOUNT_PREFIX}{name}", limit
