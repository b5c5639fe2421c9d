"""Connect the relays of several hosts to one log and to each other, without sockets."""

import asyncio
import random
from collections.abc import Awaitable, Callable
from typing import Any

from trefoilstage.blackboard import Blackboard, ListedHost
from trefoilstage.components.log_client.client import LogPage, LogRecord
from trefoilstage.components.peers.messages import PeerMessage
from trefoilstage.components.peers.relay import RelayedLog
from trefoilstage.exceptions import (
    LogUnavailableError,
    NotReadyError,
    PeerUnavailableError,
    RecordsExpiredError,
)

READ_S = 0.005

Handler = Callable[[Any], Awaitable[PeerMessage]]


class ShortLog:
    """Simulate a log that keeps only the newest records of a stream, or none."""

    def __init__(self) -> None:
        self.records: list[bytes] = []
        self.n_kept = 1

    async def append(
        self, stream: str, records: list[bytes], *, timeout_s: float
    ) -> int:
        """Add records and return the first one's offset."""
        self.records += records
        return len(self.records) - len(records)

    async def read(
        self, stream: str, offset: int, *, wait_s: float, timeout_s: float
    ) -> LogPage:
        """Return the kept records from an offset on, or raise RecordsExpiredError."""
        end = len(self.records)
        earliest = end - self.n_kept
        if offset < earliest:
            raise RecordsExpiredError(earliest=earliest)
        records = tuple(
            LogRecord(offset=position, data=self.records[position])
            for position in range(offset, end)
        )
        return LogPage(records=records, end_offset=end)


class RelayFleet:
    """Run the relays of several hosts and control their access to the log."""

    def __init__(self, *, names: tuple[str, ...]) -> None:
        self.log = ShortLog()
        self.cut_hosts: set[str] = set()
        # While set, no host gets a response from the log to a read.
        self.reads_hang = False
        # How many of the next appends take effect but get no response.
        self.n_responses_to_drop = 0
        self.boards: dict[str, Blackboard] = {}
        self.peers: dict[str, FakePeer] = {}
        self.relays: dict[str, RelayedLog] = {}
        for name in names:
            self.peers[name] = FakePeer()
            self.boards[name] = self.make_board(name, names)
            self.relays[name] = RelayedLog(
                client=HostLog(fleet=self, host=name),  # type: ignore[arg-type]
                blackboard=self.boards[name],
                links=self,  # type: ignore[arg-type]
                server=self.peers[name],  # type: ignore[arg-type]
                timeout_s=1.0,
                generator=random.Random(1),
            )

    def make_board(self, host: str, names: tuple[str, ...]) -> Blackboard:
        """Return the blackboard of a host with the others on the platform's list."""
        board = Blackboard(host=host, incarnation=f"{host}-1", data_center="brest")
        for name in names:
            board.listed[name] = ListedHost(host=name, peer_url=name)
        return board

    def cut_from_log(self, name: str) -> None:
        """Cut a host from the log."""
        self.cut_hosts.add(name)

    def stop_replies(self, *names: str) -> None:
        """Stop hosts from replying to calls."""
        for name in names:
            self.peers[name].is_unresponsive = True

    async def read(self, name: str, offset: int) -> list[bytes]:
        """Return the records that a host reads from an offset on."""
        page = await self.relays[name].read("config", offset, wait_s=0.0)
        return [record.data for record in page.records]

    async def read_all(self, offset: int) -> None:
        """Read from an offset on at every host."""
        for name in self.relays:
            await self.read(name, offset)

    def get_link(self, url: str) -> "FakePeer":
        """Return the link to a peer."""
        return self.peers[url]


class FakePeer:
    """Stand in for a peer's server and for the link to it."""

    def __init__(self) -> None:
        self._handlers: dict[type, Handler] = {}
        self.is_unresponsive = False

    def register(self, message_type: type, handler: Handler) -> None:
        """Register the handler for messages of a type."""
        self._handlers[message_type] = handler

    async def call(self, message: PeerMessage, *, timeout_s: float) -> PeerMessage:
        """Return the handler's reply, or raise PeerUnavailableError."""
        if self.is_unresponsive or type(message) not in self._handlers:
            raise PeerUnavailableError("no reply")
        try:
            return await self._handlers[type(message)](message)
        except (NotReadyError, LogUnavailableError) as error:
            raise PeerUnavailableError(str(error)) from error


class HostLog:
    """Access the log as one host, which may be cut from it."""

    def __init__(self, *, fleet: RelayFleet, host: str) -> None:
        self._fleet = fleet
        self._host = host

    def _check(self) -> None:
        if self._host in self._fleet.cut_hosts:
            raise LogUnavailableError("host is cut from the log")

    async def append(
        self, stream: str, records: list[bytes], *, timeout_s: float
    ) -> int:
        """Append to the log unless cut from it; drop the response if so configured."""
        self._check()
        first = await self._fleet.log.append(stream, records, timeout_s=timeout_s)
        if self._fleet.n_responses_to_drop > 0:
            self._fleet.n_responses_to_drop -= 1
            raise LogUnavailableError("response lost")
        return first

    async def read(
        self, stream: str, offset: int, *, wait_s: float, timeout_s: float
    ) -> LogPage:
        """Read from the log unless cut from it."""
        # If the log responded without a pause, a host that reads in a loop would block
        # the event loop.
        await asyncio.sleep(READ_S)
        self._check()
        while self._fleet.reads_hang:
            await asyncio.sleep(READ_S)
        log = self._fleet.log
        return await log.read(stream, offset, wait_s=wait_s, timeout_s=timeout_s)
