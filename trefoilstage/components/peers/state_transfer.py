"""Fetch a stream's state from a peer."""

from trefoilstage.components.log_client.checkpoints import MAX_PARTS, PackedState
from trefoilstage.components.peers.log_peers import LogPeers
from trefoilstage.components.peers.messages import ReadState, StateReply
from trefoilstage.exceptions import PeerUnavailableError


async def fetch_state(peers: LogPeers, stream: str) -> PackedState | None:
    """Return a stream's state from a peer, None if no peer returns it."""
    for name in [*peers.list_preferred(), *peers.pick_unconfirmed()]:
        try:
            return await fetch_parts(peers, name, stream)
        except PeerUnavailableError:
            continue
    return None


async def fetch_parts(peers: LogPeers, name: str, stream: str) -> PackedState:
    """Return a stream's state, fetched from one peer in parts.

    Raise PeerUnavailableError if the peer does not return all parts of one state.
    """
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
        raise PeerUnavailableError("the peer did not return the requested state")
    if message.offset is not None and reply.offset != message.offset:
        raise PeerUnavailableError("the peer returned a part of another state")
    return reply
