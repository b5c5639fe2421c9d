"""Manage the streams that this host reads and appends to."""

import random
from collections.abc import Callable

from mode import Service

from trefoilstage.blackboard import Blackboard, StreamStatus
from trefoilstage.components.log_client.checkpoints import (
    CheckpointSchedule,
    PackedState,
    compress_state,
)
from trefoilstage.components.log_client.folds import ConfigFold, LedgerFold
from trefoilstage.components.log_client.interfaces import RecordSource, StreamFold
from trefoilstage.components.log_client.stream import StreamService, Ticket
from trefoilstage.configuration.records import ConfigRecord
from trefoilstage.const import CONFIG_STREAM, LEDGER_STREAM_PREFIX
from trefoilstage.exceptions import StreamNotFollowedError
from trefoilstage.ledger.records import LedgerRecord
from trefoilstage.util.hashing import hash_to_bucket, rank_by_rendezvous

LedgerListener = Callable[[int, StreamService], None]


class Streams(Service):
    """Start the configuration stream, then the ledger streams that it configures."""

    def __init__(
        self,
        *,
        blackboard: Blackboard,
        source: RecordSource,
        poll_s: float,
        checkpoint_every: int,
        checkpoint_interval_s: float,
        generator: random.Random,
    ) -> None:
        super().__init__()
        self._blackboard = blackboard
        self._source = source
        self._poll_s = poll_s
        self._checkpoint_every = checkpoint_every
        self._checkpoint_interval_s = checkpoint_interval_s
        self._generator = generator
        self._config_fold = ConfigFold(blackboard=blackboard)
        self.config = self._create_stream(CONFIG_STREAM, self._config_fold)
        self.ledgers: dict[int, StreamService] = {}
        self._ledger_listeners: list[LedgerListener] = []

    def _create_stream(self, name: str, fold: StreamFold) -> StreamService:
        status = StreamStatus()
        self._blackboard.streams[name] = status
        return StreamService(
            name=name,
            incarnation=self._blackboard.incarnation,
            source=self._source,
            fold=fold,
            status=status,
            poll_s=self._poll_s,
            schedule=CheckpointSchedule(
                interval_records=self._checkpoint_every,
                interval_s=self._checkpoint_interval_s,
            ),
            rank_writer=self.get_own_rank,
            generator=self._generator,
        )

    def get_own_rank(self, key: str) -> int:
        """Return this host's rank among the live hosts for the task named by a key."""
        ranked = rank_by_rendezvous(key, self._blackboard.list_hosts_not_known_lost())
        return ranked.index(self._blackboard.host)

    async def on_start(self) -> None:
        """Start the configuration stream."""
        await self.add_runtime_dependency(self.config)

    def warm_up(self) -> None:
        """Index a few configuration files ahead of the next change."""
        self._config_fold.warm_up()

    async def start_ledgers(self) -> None:
        """Start each ledger stream of the configuration in force."""
        for number in range(self._blackboard.configuration.fleet.ledger_streams):
            if number in self.ledgers:
                continue
            fold = LedgerFold(blackboard=self._blackboard, number=number)
            stream = self._create_stream(f"{LEDGER_STREAM_PREFIX}{number}", fold)
            self.ledgers[number] = stream
            for listener in self._ledger_listeners:
                listener(number, stream)
            await self.add_runtime_dependency(stream)

    def subscribe_ledgers(self, listener: LedgerListener) -> None:
        """Call a listener for each ledger stream that is started."""
        self._ledger_listeners.append(listener)

    def get_ledger_number(self, account: str) -> int:
        """Return the number of the ledger stream of an account."""
        n_streams = self._blackboard.configuration.fleet.ledger_streams
        return hash_to_bucket(account, n_streams)

    def submit_ledger(self, number: int, record: LedgerRecord) -> Ticket:
        """Queue a record, or raise StreamNotFollowedError before the stream starts."""
        stream = self.ledgers.get(number)
        if stream is None:
            raise StreamNotFollowedError(
                f"ledger stream {number} has not been started yet"
            )
        return stream.submit(record)

    def submit_config(self, record: ConfigRecord) -> Ticket:
        """Queue a record for the configuration stream."""
        return self.config.submit(record)

    async def pack(self, name: str) -> PackedState | None:
        """Return a stream's packed state, or None if unknown or not caught up."""
        for stream in [self.config, *self.ledgers.values()]:
            if stream.name == name and stream.status.caught_up:
                return await compress_state(stream.fold.dump())
        return None

    def is_halted(self) -> bool:
        """Return whether a stream uses a fold version unsupported by this host."""
        streams = [self.config, *self.ledgers.values()]
        return any(stream.status.halted for stream in streams)

    def is_caught_up(self) -> bool:
        """Return whether every stream has been read to its end."""
        # The ledger streams start shortly after the configuration is read. A host
        # that served requests before then would know no account and reject them all.
        if (
            self._blackboard.config.revision >= 0
            and not self._blackboard.follows_all_ledgers()
        ):
            return False
        streams = [self.config, *self.ledgers.values()]
        return all(stream.status.caught_up for stream in streams)

    async def flush(self) -> None:
        """Wait until every record submitted so far has its verdict."""
        for stream in [self.config, *self.ledgers.values()]:
            await stream.wait_for_empty_queue()
