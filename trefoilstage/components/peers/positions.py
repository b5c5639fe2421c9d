"""Ask all hosts how far they have folded a stream, before a lost record is skipped."""

from trefoilstage.components.log_client.skip_decision import (
    PeerPosition,
    defers_to_peer,
    do_positions_allow_skip,
)
from trefoilstage.components.peers.log_peers import LogPeers
from trefoilstage.components.peers.messages import ReadRecords, RecordsReply
from trefoilstage.const import CONFIG_STREAM
from trefoilstage.exceptions import PeerUnavailableError
from trefoilstage.helpers.events import Event, log_event

MAX_NAMES_LOGGED = 5


async def do_peers_allow_skip(
    peers: LogPeers, stream: str, offset: int, *, fence: bool = False
) -> bool:
    """Return whether this host may skip the record at an offset, by its peers' replies.

    With `fence`, every peer also has to promise not to fold that record.
    """
    message = ReadRecords(stream=stream, offset=offset, fence=fence)
    positions: dict[str, PeerPosition | None] = {}
    # Ledgers wait also for hosts that were declared lost: the tokens of a draw that
    # only such a host has folded would count as free and be spent twice.
    lost = peers.list_declared_lost() if stream == CONFIG_STREAM else set()
    for name, url in sorted(peers.get_all_urls().items()):
        position = await fetch_position(peers, url, message)
        if position is None and name in lost:
            continue
        positions[name] = position
        # Every host but the first by name returns here after a few calls, also in a
        # fleet of 410 hosts.
        if defers_to_peer(position, name, host=peers.host, offset=offset):
            return False
    unresponsive = [name for name, position in positions.items() if position is None]
    if unresponsive:
        log_event(
            Event.RECORD_MISSING,
            stream=stream,
            offset=offset,
            unanswered=",".join(unresponsive[:MAX_NAMES_LOGGED]),
        )
    return do_positions_allow_skip(
        host=peers.host,
        offset=offset,
        positions=positions,
        incarnations={
            name: incarnation
            for name, incarnation in peers.get_incarnations().items()
            if name not in lost
        },
    )


async def fetch_position(
    peers: LogPeers, url: str, message: ReadRecords
) -> PeerPosition | None:
    """Return how far a host has folded the stream.

    Return None if it does not reply or does not follow the stream, or if the message
    asks for a fence and the host neither promised one nor has or folded the record.
    """
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
        next_offset=reply.folded,
        has_record=bool(reply.records),
    )
