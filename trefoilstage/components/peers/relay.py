"""Read from the log, or through a peer while the log is out of reach."""

from collections.abc import Callable
from typing import TypeVar

from trefoilstage.blackboard import Blackboard
from trefoilstage.components.log_client.client import LogClient, LogPage, LogRecord
from trefoilstage.components.peers.links import PeerLinks
from trefoilstage.components.peers.messages import (
    AppendRecords,
    AppendReply,
    PeerMessage,
    ReadRecords,
    RecordsReply,
)
from trefoilstage.components.peers.server import PeerServer
from trefoilstage.exceptions import LogUnavailableError, PeerUnavailableError

ResultT = TypeVar("ResultT")
NO_OFFSET = -1


class RelayedLog:
    """Try the log first, then each live peer; a record is the same from any."""

    def __init__(
        self,
        *,
        client: LogClient,
        blackboard: Blackboard,
        links: PeerLinks,
        server: PeerServer,
        timeout_s: float,
    ) -> None:
        self._client = client
        self._blackboard = blackboard
        self._links = links
        self._timeout_s = timeout_s
        server.register(ReadRecords, self._answer_read)
        server.register(AppendRecords, self._answer_append)

    async def append(self, stream: str, records: list[bytes]) -> int:
        """Append a group and return its first offset."""
        try:
            return await self._client.append(stream, records)
        except LogUnavailableError:
            message = AppendRecords(stream=stream, records=tuple(records))
            return await self._ask_peers(message, take_append)

    async def read(self, stream: str, offset: int, *, wait_s: float) -> LogPage:
        """Return records from an offset on."""
        try:
            return await self._client.read(stream, offset, wait_s=wait_s)
        except LogUnavailableError:
            message = ReadRecords(stream=stream, offset=offset)
            return await self._ask_peers(message, take_records)

    async def _ask_peers(
        self, message: PeerMessage, take: Callable[[PeerMessage], ResultT | None]
    ) -> ResultT:
        for entry in self._blackboard.list_live_peers():
            link = self._links.get_link(entry.peer_url)
            try:
                result = take(await link.call(message, timeout_s=self._timeout_s))
            except PeerUnavailableError:
                continue
            if result is not None:
                return result
        raise LogUnavailableError("neither the log nor a peer answers")

    async def _answer_read(self, message: ReadRecords) -> PeerMessage:
        page = await self._client.read(message.stream, message.offset, wait_s=0.0)
        return RecordsReply(
            offsets=tuple(record.offset for record in page.records),
            records=tuple(record.data for record in page.records),
            next_offset=page.next_offset,
        )

    async def _answer_append(self, message: AppendRecords) -> PeerMessage:
        first = await self._client.append(message.stream, list(message.records))
        return AppendReply(first=first)


def take_append(reply: PeerMessage) -> int | None:
    """Return the offset in a reply, if it has one."""
    if isinstance(reply, AppendReply) and reply.first != NO_OFFSET:
        return reply.first
    return None


def take_records(reply: PeerMessage) -> LogPage | None:
    """Return the records in a reply, if it has them."""
    if not isinstance(reply, RecordsReply):
        return None
    records = tuple(
        LogRecord(offset=offset, data=data)
        for offset, data in zip(reply.offsets, reply.records, strict=True)
    )
    return LogPage(records=records, next_offset=reply.next_offset)
