"""Send peers the state of a stream if the log has no checkpoint of it.

A checkpoint is a stream's state, written to the log, from which a new host starts.
"""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from trefoilstage.components.log_client.checkpoints import (
    PackedState,
    split_checkpoint,
)
from trefoilstage.components.peers.messages import PeerMessage, ReadState, StateReply
from trefoilstage.components.peers.server import PeerServer
from trefoilstage.exceptions import NotReadyError

PackStream = Callable[[str], Awaitable[PackedState | None]]


@dataclass(frozen=True, kw_only=True, slots=True)
class Snapshot:
    """Describe the state of a stream that peers are fetching in parts."""

    stream: str
    packed: PackedState


class SnapshotServer:
    """Serve a stream's state to peers in parts; keep it until the next is packed."""

    def __init__(self, *, server: PeerServer, pack: PackStream) -> None:
        self._pack = pack
        self._last_snapshot: Snapshot | None = None
        server.register(ReadState, self._answer_state_request)

    async def _answer_state_request(self, message: ReadState) -> PeerMessage:
        packed = await self._get_packed_state(message)
        parts = split_checkpoint(packed)
        if message.part >= len(parts):
            raise NotReadyError("the state has fewer parts than requested")
        return StateReply(
            offset=packed.offset,
            fold_version=packed.fold_version,
            state=parts[message.part].state,
            part=message.part,
            n_parts=len(parts),
        )

    async def _get_packed_state(self, message: ReadState) -> PackedState:
        last = self._last_snapshot
        if message.offset is not None:
            is_same_stream = last is not None and last.stream == message.stream
            if (
                last is None
                or not is_same_stream
                or last.packed.offset != message.offset
            ):
                raise NotReadyError("the requested state was replaced by a newer one")
            return last.packed
        packed = await self._pack(message.stream)
        if packed is None:
            raise NotReadyError("this host has not caught up on the stream")
        self._last_snapshot = Snapshot(stream=message.stream, packed=packed)
        return packed
