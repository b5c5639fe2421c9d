"""Ask all hosts how far they have read a stream."""

from trefoilstage.components.log_client.loss import (
    PeerPosition,
    leaves_it_to,
    may_go_on,
)
from trefoilstage.components.peers.log_peers import LogPeers
from trefoilstage.components.peers.messages import ReadRecords, RecordsReply
from trefoilstage.const import CONFIG_STREAM
from trefoilstage.exceptions import PeerUnavailableError
from trefoilstage.helpers.events import Event, log_event

MAX_NAMES_LOGGED = 5


async def may_pass_over(
    peers: LogPeers, stream: str, offset: int, *, fence: bool = False
) -> bool:
    """Tell whether this host is to go on without the record at an offset.

    With `fence`, each host has promised not to fold that record.
    """
    message = ReadRecords(stream=stream, offset=offset, fence=fence)
    positions: dict[str, PeerPosition | None] = {}
    # A lost draw would count as free, and its tokens be spent twice.
    lost = peers.list_declared_lost() if stream == CONFIG_STREAM else set()
    for name, url in sorted(peers.find_all_urls().items()):
        position = await find_position(peers, url, message)
        if position is None and name in lost:
            continue
        positions[name] = position
        # All but the first by name end here, so that 410 hosts make few calls each.
        if leaves_it_to(position, name, host=peers.host, offset=offset):
            return False
    silent = [name for name, position in positions.items() if position is None]
    if silent:
        log_event(
            Event.RECORD_MISSING,
            stream=stream,
            offset=offset,
            unanswered=",".join(silent[:MAX_NAMES_LOGGED]),
        )
    return may_go_on(
        host=peers.host,
        offset=offset,
        positions=positions,
        incarnations={
            name: incarnation
            for name, incarnation in peers.list_incarnations().items()
            if name not in lost
        },
    )


async def find_position(
    peers: LogPeers, url: str, message: ReadRecords
) -> PeerPosition | None:
    """Return where a host stands, None if it does not answer or follow the stream."""
    try:
        reply = await peers.call_at(url, message)
    except PeerUnavailableError:
        return None
    if not isinstance(reply, RecordsReply) or reply.folded is None:
        return None
    is_bound = reply.fenced or reply.records or reply.folded > message.offset
    if message.fence and not is_bound:
        return None
    return PeerPosition(
        incarnation=reply.incarnation,
        folded=reply.folded,
        has_record=bool(reply.records),
    )
