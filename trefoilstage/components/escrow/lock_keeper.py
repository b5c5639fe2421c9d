"""Keep this host's promise not to use its locked tokens current in the store."""

import asyncio
from collections.abc import Callable

from mode import Service

from trefoilstage.components.escrow.lock import (
    LOCK_CODEC,
    RENEW_INTERVAL_S,
    LockRecord,
    ReserveLock,
    list_proven_untouched,
)
from trefoilstage.components.views.store import Store, StoreUnavailableError, Topic
from trefoilstage.exceptions import MalformedMessageError
from trefoilstage.fleet_board import FleetBoard
from trefoilstage.helpers.events import Event, log_event
from trefoilstage.timer import TimerService
from trefoilstage.util.process_start import ProcessStart

READ_RETRY_INTERVAL_S = 0.2


class LockKeeper(Service):
    """Read the predecessor's promise, then renew this incarnation's own."""

    def __init__(
        self,
        *,
        board: FleetBoard,
        store: Store,
        timer: TimerService,
        lock: ReserveLock,
        start: ProcessStart,
        has_locked: Callable[[], bool],
        has_used_locked: Callable[[], bool],
    ) -> None:
        super().__init__()
        self._board = board
        self._store = store
        self._timer = timer
        self._lock = lock
        self._process_start = start
        self._has_locked = has_locked
        self._has_used_locked = has_used_locked
        self._are_proofs_stored = False  # those about predecessors
        self._failed_at = float("-inf")
        self._is_renewing = False

    async def on_start(self) -> None:
        """Start to read the predecessor's promise and to renew this host's own."""
        self.add_future(self.read_predecessor())
        self._unsubscribe = self._timer.subscribe(
            name="reserve lock", interval_s=RENEW_INTERVAL_S, callback=self.renew
        )

    async def on_stop(self) -> None:
        """Stop renewing the promise."""
        self._unsubscribe()

    def forget_stored(self) -> None:
        """Write the proofs about predecessors again, as the store may lack them."""
        self._are_proofs_stored = False

    async def read_predecessor(self) -> None:
        """Read which earlier incarnations of this host used no locked tokens."""
        while self._board.untouched is None:
            try:
                record = await self._read_own_record()
            except StoreUnavailableError:
                # The followers log that the store is out of reach.
                await asyncio.sleep(READ_RETRY_INTERVAL_S)
                continue
            proven = list_proven_untouched(record, self._process_start)
            self._board.untouched = proven
            log_event(
                Event.LOCK_READ,
                predecessor=record.incarnation if record else "",
                until=record.until if record else 0.0,
                started=self._process_start.monotonic_s,
                untouched=",".join(proven),
            )
            await self.renew()

    async def _read_own_record(self) -> LockRecord | None:
        batch = await self._store.list_newest(Topic.LOCKS)
        for record in batch.records:
            if record.key == self._board.host and record.value is not None:
                try:
                    return LOCK_CODEC.decode(record.value)
                except MalformedMessageError as error:
                    # Without a proof, the locked tokens count as used.
                    log_event(
                        Event.RECORD_MALFORMED, topic=Topic.LOCKS, error=str(error)
                    )
        return None

    async def renew(self) -> None:
        """Extend the promise if it is needed and the store responds."""
        if self._is_renewing or self._board.untouched is None:
            return
        if not self._needs_promise() or not self._may_promise():
            return
        self._is_renewing = True
        try:
            await self._write_promise()
        finally:
            self._is_renewing = False

    def _needs_promise(self) -> bool:
        """Return whether this host has locked tokens or a proof to pass on.

        In a large fleet most hosts are not the home of any account, and their
        promises would be useless calls to the store.
        """
        return self._has_locked() or bool(
            self._board.untouched and not self._are_proofs_stored
        )

    def _may_promise(self) -> bool:
        """Return whether the store responds and no locked tokens are in use.

        Promises written after a failed one would keep the lock closed throughout an
        outage, when the tokens are needed.
        """
        store = self._board.store
        if store.out_of_reach or store.last_answer <= self._failed_at:
            return False
        return not self._has_used_locked()

    async def _write_promise(self) -> None:
        record = LockRecord(
            incarnation=self._board.incarnation,
            boot=self._process_start.boot,
            until=self._lock.promise(self._timer.now()),
            offset=self._process_start.offset,
            untouched=self._board.untouched or (),
        )
        try:
            await self._store.put(
                Topic.LOCKS, self._board.host, LOCK_CODEC.encode(record)
            )
            self._are_proofs_stored = True
        except StoreUnavailableError as error:
            now = self._timer.now()
            self._failed_at = now
            self._board.store.record_failure(now, str(error))
