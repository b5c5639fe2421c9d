"""Read the platform's list of hosts, which may be out of date and is only a hint."""

from typing import Annotated

import aiohttp
from mode import Service
from pydantic import BaseModel, Field, ValidationError

from trefoilstage.blackboard import Blackboard, ListedHost
from trefoilstage.helpers.body import read_body
from trefoilstage.helpers.events import Event, log_event
from trefoilstage.phase import Phase
from trefoilstage.timer import TimerService

HOST_LIST_INTERVAL_S = 2.0
HOST_LIST_TIMEOUT_S = 2.0
HTTP_OK = 200
MAX_LIST_BYTES = 4_000_000


class HostListEntry(BaseModel):
    """Validate one host of the platform's list."""

    host: Annotated[str, Field(max_length=63)]
    peer_url: Annotated[str, Field(max_length=300)]
    leaving: bool = False


class HostList(BaseModel):
    """Validate the platform's list."""

    hosts: list[HostListEntry]


class HostListController(Service):
    """Register this host with the platform and write its list to the blackboard."""

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
        """Start requesting the list."""
        self._unsubscribe = self._timer.subscribe(
            name="host_list", interval_s=HOST_LIST_INTERVAL_S, callback=self._refresh
        )
        self.add_future(self._refresh())

    async def on_stop(self) -> None:
        """Stop requesting the list."""
        self._unsubscribe()

    async def _refresh(self) -> None:
        timeout = aiohttp.ClientTimeout(total=HOST_LIST_TIMEOUT_S)
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
                body_bytes = await read_body(response, MAX_LIST_BYTES)
                listed = HostList.model_validate_json(body_bytes)
        except (TimeoutError, aiohttp.ClientError, OSError, ValidationError) as error:
            self._record_failure(repr(error)[:200])
            return
        self._failing = False
        self._blackboard.listed = {
            entry.host: ListedHost(
                host=entry.host, peer_url=entry.peer_url, leaving=entry.leaving
            )
            for entry in listed.hosts
        }

    def _record_failure(self, error: str) -> None:
        if not self._failing:
            log_event(Event.HOST_LIST_LOST, error=error)
        self._failing = True
