"""Start the ledger streams of the configuration in force and write their limits."""

from mode import Service

from trefoilstage.blackboard import Blackboard
from trefoilstage.components.log_client.stream import Ticket
from trefoilstage.components.log_client.streams import Streams
from trefoilstage.helpers.events import Event, log_event
from trefoilstage.ledger.records import SetLimit
from trefoilstage.timer import TimerService

CHECK_INTERVAL_S = 0.1
STAGGER_S = 0.5
MAX_STAGGER_RANK = 10


class ConfigurationController(Service):
    """Start ledger streams and set account limits according to the configuration."""

    def __init__(
        self, *, blackboard: Blackboard, streams: Streams, timer: TimerService
    ) -> None:
        super().__init__()
        self._blackboard = blackboard
        self._streams = streams
        self._timer = timer
        self._revision = -1
        self._revision_at = 0.0
        # The newest revision whose limits are in the ledgers.
        self._synced = -1
        self._tickets: list[Ticket] = []

    async def on_start(self) -> None:
        """Start watching the configuration."""
        self._unsubscribe = self._timer.subscribe(
            name="configuration", interval_s=CHECK_INTERVAL_S, callback=self._check
        )

    async def on_stop(self) -> None:
        """Stop watching the configuration."""
        self._unsubscribe()

    async def _check(self) -> None:
        revision = self._blackboard.config.revision
        if revision < 0:
            return
        self._streams.warm_up()
        if revision != self._revision:
            self._revision = revision
            self._revision_at = self._timer.now()
            await self._streams.start_ledgers()
            log_event(Event.CONFIG_IN_FORCE, revision=revision)
        if (
            self._synced != revision
            and self._is_own_turn()
            and self._can_write_limits()
        ):
            self._write_limits()

    def _is_own_turn(self) -> bool:
        # All hosts see a change at the same time. The host of rank 0 writes the
        # limits; the others write them only if it has not done so by their turn.
        rank = self._streams.get_own_rank(f"limits@{self._revision}")
        delay_s = min(rank, MAX_STAGGER_RANK) * STAGGER_S
        return self._timer.now() - self._revision_at >= delay_s

    def _can_write_limits(self) -> bool:
        self._tickets = [ticket for ticket in self._tickets if not ticket.future.done()]
        return not self._tickets and self._streams.is_caught_up()

    def _write_limits(self) -> None:
        for account, account_limit in self._blackboard.config.limits.items():
            number = self._streams.get_ledger_number(account)
            account_state = self._blackboard.ledgers[number].accounts.get(account)
            if (
                account_state is not None
                and account_state.revision >= account_limit.revision
            ):
                continue
            record = SetLimit(
                account=account,
                limit=account_limit.limit,
                revision=account_limit.revision,
            )
            self._tickets.append(self._streams.submit_ledger(number, record))
        if not self._tickets:
            self._synced = self._revision
