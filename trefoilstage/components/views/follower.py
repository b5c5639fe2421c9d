"""Keep a view up to date with a keyed topic of the store."""

import asyncio
from collections.abc import Callable

from mode import Service

from trefoilstage.components.views.keyed_view import KeyedRecord, KeyedView
from trefoilstage.components.views.store import (
    OffsetExpiredError,
    Store,
    StoreUnavailableError,
    Topic,
    split_position,
)
from trefoilstage.fleet_board import FleetBoard
from trefoilstage.helpers.events import Event, log_event

# Short enough to read a new configuration well within the required 2 s after an
# outage. During the outage, a follower calls the store at most five times per second.
RETRY_INTERVAL_S = 0.2

# What is written to a restored store again is there after this time.
REWRITE_S = 5.0
TARGETS_REWRITE_S = 2.0

ChangeCallback = Callable[[list[KeyedRecord]], None]
GetPause = Callable[[], float]


class ViewFollower(Service):
    """Merge a topic's records into a view and pass changes to a callback."""

    def __init__(
        self,
        *,
        board: FleetBoard,
        store: Store,
        topic: Topic,
        wait_s: float,
        get_pause: GetPause,
        on_change: ChangeCallback,
        on_restored: Callable[[], None],
    ) -> None:
        super().__init__()
        self._board = board
        self._store = store
        self._topic = topic
        self._wait_s = wait_s  # the longest that the store may wait for new records
        self._get_pause = get_pause  # returns the seconds until the next read
        self._on_change = on_change
        self._on_restored = on_restored
        self._rewrite_s = TARGETS_REWRITE_S if topic is Topic.TARGETS else REWRITE_S
        # When records that a restored store lacks count as deleted.
        self._list_again_at = float("inf")
        self.has_listing = False  # whether the topic was read from the store
        # A target's entry says how long it is cold from when the entry was written.
        self.view = KeyedView(reports_repeats=topic is Topic.TARGETS)

    async def on_start(self) -> None:
        """Start reading the topic."""
        self.add_future(self._follow_topic())

    def merge(self, records: list[KeyedRecord]) -> None:
        """Merge records received from a peer."""
        newest = max((record.offset for record in records), default=0)
        if self._board.store.record_position(newest, self._now()):
            self._on_restored()
        self._notify(self.view.merge(records))

    async def _follow_topic(self) -> None:
        while True:
            try:
                await self._read_changes()
            except OffsetExpiredError as error:
                log_event(Event.VIEW_EXPIRED, topic=self._topic, error=str(error))
                self.has_listing = False
            except StoreUnavailableError as error:
                self._board.store.record_failure(self._now(), str(error))
                await asyncio.sleep(RETRY_INTERVAL_S)
            else:
                await asyncio.sleep(self._get_pause())

    def _is_restored(self, end_offset: int) -> bool:
        """Return whether the store came back from a copy since the view was read."""
        n_restored, _ = split_position(end_offset)
        return bool(self.view.records) and n_restored > self._get_n_restored()

    def _get_n_restored(self) -> int:
        return split_position(self.view.next_offset)[0]

    async def _read_changes(self) -> None:
        if self._now() >= self._list_again_at:
            self._list_again_at = float("inf")
            self.has_listing = False
        if not self.has_listing:
            batch = await self._store.list_newest(self._topic)
            now = self._now()
            self._board.store.record_response(now)
            is_restored = self._is_restored(batch.end_offset)
            changed = self.view.merge_listing(
                batch.records, batch.end_offset, keeps_missing=is_restored
            )
            self.has_listing = True
            if is_restored:
                self._list_again_at = now + self._rewrite_s
            if self._board.store.record_position(batch.end_offset, now):
                self._on_restored()
            log_event(
                Event.VIEW_LISTED,
                topic=self._topic,
                offset=self.view.next_offset,
                end_offset=batch.end_offset,
            )
        else:
            batch = await self._store.read(
                self._topic, self.view.next_offset, self._wait_s
            )
            # The board must show that the store is reachable before the callback runs:
            # a target whose entry expired during the outage may register again.
            self._board.store.record_response(self._now())
            changed = self.view.merge(batch.records)
        self._notify(changed)

    def _notify(self, changed: list[KeyedRecord]) -> None:
        if changed:
            self._on_change(changed)

    def _now(self) -> float:
        return asyncio.get_running_loop().time()
