"""Own the streams that this host follows."""

from collections.abc import Callable

from mode import Service

from trefoilstage.blackboard import Blackboard, StreamStatus
from trefoilstage.components.log_client.folds import ConfigFold, LedgerFold
from trefoilstage.components.log_client.stream import (
    RecordSource,
    StreamFold,
    StreamService,
    Ticket,
)
from trefoilstage.configuration.records import ConfigRecord
from trefoilstage.const import CONFIG_STREAM, LEDGER_STREAM_PREFIX
from trefoilstage.ledger.records import LedgerRecord
from trefoilstage.util.hashing import pick_stream

LedgerStarted = Callable[[int, StreamService], None]


class Streams(Service):  # type: ignore[misc]
    """Start the configuration stream, then each ledger stream it names."""

    def __init__(
        self,
        *,
        blackboard: Blackboard,
        source: RecordSource,
        poll_s: float,
        checkpoint_every: int,
    ) -> None:
        super().__init__()
        self._blackboard = blackboard
        self._source = source
        self._poll_s = poll_s
        self._checkpoint_every = checkpoint_every
        self.config = self._make(CONFIG_STREAM, ConfigFold(blackboard=blackboard))
        self.ledgers: dict[int, StreamService] = {}
        self._ledger_listeners: list[LedgerStarted] = []

    def _make(self, name: str, fold: StreamFold) -> StreamService:
        status = StreamStatus()
        self._blackboard.streams[name] = status
        return StreamService(
            name=name,
            incarnation=self._blackboard.incarnation,
            source=self._source,
            fold=fold,
            status=status,
            poll_s=self._poll_s,
            checkpoint_every=self._checkpoint_every,
        )

    async def on_start(self) -> None:
        """Follow the configuration."""
        await self.add_runtime_dependency(self.config)

    async def start_ledgers(self) -> None:
        """Follow each ledger stream of the configuration in force."""
        for number in range(self._blackboard.configuration.fleet.ledger_streams):
            if number in self.ledgers:
                continue
            fold = LedgerFold(blackboard=self._blackboard, number=number)
            stream = self._make(f"{LEDGER_STREAM_PREFIX}{number}", fold)
            self.ledgers[number] = stream
            for listener in self._ledger_listeners:
                listener(number, stream)
            await self.add_runtime_dependency(stream)

    def subscribe_ledgers(self, listener: LedgerStarted) -> None:
        """Tell a listener of each ledger stream that starts."""
        self._ledger_listeners.append(listener)

    def pick_number(self, account: str) -> int:
        """Return the number of the stream that holds an account."""
        n_streams = self._blackboard.configuration.fleet.ledger_streams
        return pick_stream(account, n_streams)

    def submit_ledger(self, number: int, record: LedgerRecord) -> Ticket:
        """Queue a record for a ledger stream."""
        return self.ledgers[number].submit(record)

    def submit_config(self, record: ConfigRecord) -> Ticket:
        """Queue a record for the configuration stream."""
        return self.config.submit(record)

    def is_caught_up(self) -> bool:
        """Tell whether every stream has been read to its end."""
        streams = [self.config, *self.ledgers.values()]
        return all(stream.status.caught_up for stream in streams)

    async def flush(self) -> None:
        """Wait until everything submitted was folded."""
        for stream in [self.config, *self.ledgers.values()]:
            await stream.wait_for_empty_queue()
