"""Give peers the state of a stream, where the log has no checkpoint."""

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
    """Hold the state that is being handed out part by part."""

    stream: str
    packed: PackedState


class SnapshotServer:
    """Answer peers that ask for a state; keep the last one for its parts."""

    def __init__(self, *, server: PeerServer, pack: PackStream) -> None:
        self._pack = pack
        self._last: Snapshot | None = None
        server.register(ReadState, self._answer)

    async def _answer(self, message: ReadState) -> PeerMessage:
        packed = await self._find(message)
        parts = split_checkpoint(packed)
        if message.part >= len(parts):
            raise NotReadyError("no such part")
        return StateReply(
            offset=packed.offset,
            fold_version=packed.fold_version,
            state=parts[message.part].state,
            part=message.part,
            n_parts=len(parts),
        )

    async def _find(self, message: ReadState) -> PackedState:
        last = self._last
        if message.offset is not None:
            known = last is not None and last.stream == message.stream
            if last is None or not known or last.packed.offset != message.offset:
                raise NotReadyError("the state has moved on")
            return last.packed
        packed = await self._pack(message.stream)
        if packed is None:
            raise NotReadyError("the stream is not caught up here")
        self._last = Snapshot(stream=message.stream, packed=packed)
        return packed
