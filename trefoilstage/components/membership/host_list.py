"""Read the platform's lagging list of hosts; hints only."""

from typing import Annotated

import aiohttp
from mode import Service
from pydantic import BaseModel, Field, ValidationError

from trefoilstage.blackboard import Blackboard, ListedHost
from trefoilstage.helpers.events import Event, log_event
from trefoilstage.phase import Phase
from trefoilstage.timer import TimerService

LIST_S = 2.0
LIST_TIMEOUT_S = 2.0
HTTP_OK = 200


class HostListEntry(BaseModel):
    """Check one host of the platform's list."""

    host: Annotated[str, Field(max_length=63)]
    peer_url: Annotated[str, Field(max_length=300)]
    leaving: bool = False


class HostList(BaseModel):
    """Check the platform's list."""

    hosts: list[HostListEntry]


class HostListController(Service):
    """Tell the platform's list of this host and write the list on the blackboard."""

    def __init__(
        self,
        *,
        blackboard: Blackboard,
        session: aiohttp.ClientSession,
        timer: TimerService,
        url: str,
        peer_url: str,
    ) -> None:
        super().__init__()
        self._blackboard = blackboard
        self._session = session
        self._timer = timer
        self._url = url
        self._peer_url = peer_url
        self._failing = False

    async def on_start(self) -> None:
        """Start asking for the list."""
        self._unsubscribe = self._timer.subscribe(
            name="host_list", interval_s=LIST_S, callback=self._refresh
        )
        self.add_future(self._refresh())

    async def on_stop(self) -> None:
        """Stop asking for the list."""
        self._unsubscribe()

    async def _refresh(self) -> None:
        timeout = aiohttp.ClientTimeout(total=LIST_TIMEOUT_S)
        body = {
            "peer_url": self._peer_url,
            "leaving": self._blackboard.phase is Phase.DRAINING,
        }
        try:
            async with self._session.put(
                f"{self._url}/hosts/{self._blackboard.host}", json=body, timeout=timeout
            ):
                pass
            async with self._session.get(
                f"{self._url}/hosts", timeout=timeout
            ) as response:
                listed = HostList.model_validate_json(await response.read())
        except (TimeoutError, aiohttp.ClientError, OSError, ValidationError) as error:
            self._note_failure(repr(error)[:200])
            return
        self._failing = False
        self._blackboard.listed = {
            entry.host: ListedHost(
                host=entry.host, peer_url=entry.peer_url, leaving=entry.leaving
            )
            for entry in listed.hosts
        }

    def _note_failure(self, error: str) -> None:
        if not self._failing:
            log_event(Event.HOST_LIST_LOST, error=error)
        self._failing = True
