"""Follow a keyed topic of the store."""

import asyncio
from collections.abc import Callable

from mode import Service

from trefoilstage.components.views.keyed_view import KeyedRecord, KeyedView
from trefoilstage.components.views.store import (
    OffsetExpiredError,
    Store,
    StoreUnavailableError,
    Topic,
)
from trefoilstage.fleet_board import FleetBoard
from trefoilstage.helpers.events import Event, log_event

# Short enough that a configuration is read well within its 2 s after an outage
# ends, long enough that a dead store gets five calls a second from a host.
RETRY_S = 0.2

OnChange = Callable[[list[KeyedRecord]], None]
GetPause = Callable[[], float]


class ViewFollower(Service):
    """Merge a topic's records into a view and tell who listens of changes."""

    def __init__(
        self,
        *,
        board: FleetBoard,
        store: Store,
        topic: Topic,
        wait_s: float,
        get_pause: GetPause,
        on_change: OnChange,
    ) -> None:
        super().__init__()
        self._board = board
        self._store = store
        self._topic = topic
        self._wait_s = wait_s  # how long the store may hold a read back
        self._get_pause = get_pause  # seconds between two reads
        self._on_change = on_change
        self._listed = False
        self.view = KeyedView()

    async def on_start(self) -> None:
        """Start following."""
        self.add_future(self._follow())

    def merge(self, records: list[KeyedRecord]) -> None:
        """Take in records that a peer passed on."""
        self._tell(self.view.merge(records))

    async def _follow(self) -> None:
        while True:
            try:
                await self._read()
            except OffsetExpiredError:
                self._listed = False
            except StoreUnavailableError as error:
                self._board.store.note_failure(self._now(), str(error))
                await asyncio.sleep(RETRY_S)
            else:
                await asyncio.sleep(self._get_pause())

    async def _read(self) -> None:
        if not self._listed:
            listing = await self._store.list_newest(self._topic)
            self._board.store.note_answer(self._now())
            changed = self.view.merge_listing(listing.records, listing.end_offset)
            self._listed = True
            log_event(
                Event.VIEW_LISTED, topic=self._topic, offset=self.view.next_offset
            )
        else:
            listing = await self._store.read(
                self._topic, self.view.next_offset, self._wait_s
            )
            # Before the records are told: a target whose entry lapsed during an
            # outage must be seen as one that may come back.
            self._board.store.note_answer(self._now())
            changed = self.view.merge(listing.records)
        self._tell(changed)

    def _tell(self, changed: list[KeyedRecord]) -> None:
        if changed:
            self._on_change(changed)

    def _now(self) -> float:
        return asyncio.get_running_loop().time()
