"""Fetch a stream's state from a peer."""

from trefoilstage.components.log_client.checkpoints import MAX_PARTS, PackedState
from trefoilstage.components.peers.log_peers import LogPeers
from trefoilstage.components.peers.messages import ReadState, StateReply
from trefoilstage.exceptions import PeerUnavailableError


async def fetch_state(peers: LogPeers, stream: str) -> PackedState | None:
    """Return a peer's state of a stream, or None when no peer gives it."""
    for name in [*peers.rank(), *peers.pick_unheard()]:
        try:
            return await fetch_parts(peers, name, stream)
        except PeerUnavailableError:
            continue
    return None


async def fetch_parts(peers: LogPeers, name: str, stream: str) -> PackedState:
    """Return the state that a peer gives in parts."""
    first = await fetch_part(peers, name, ReadState(stream=stream))
    parts = [first.state]
    for number in range(1, min(first.n_parts, MAX_PARTS)):
        message = ReadState(stream=stream, part=number, offset=first.offset)
        parts.append((await fetch_part(peers, name, message)).state)
    return PackedState(
        offset=first.offset,
        fold_version=first.fold_version,
        data=b"".join(parts),
    )


async def fetch_part(peers: LogPeers, name: str, message: ReadState) -> StateReply:
    """Return one part of a peer's state."""
    reply = await peers.call(name, message)
    if not isinstance(reply, StateReply) or reply.part != message.part:
        raise PeerUnavailableError("no state from this peer")
    if message.offset is not None and reply.offset != message.offset:
        raise PeerUnavailableError("the peer's state has moved on")
    return reply
