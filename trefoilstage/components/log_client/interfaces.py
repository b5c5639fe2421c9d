"""Define the interfaces that a stream requires of its source and its fold."""

from typing import Any, Protocol

from trefoilstage.components.log_client.checkpoints import DumpedState, PackedState
from trefoilstage.components.log_client.client import LogPage
from trefoilstage.components.log_client.writer import RecordSink
from trefoilstage.helpers.verdict import Verdict


class RecordSource(RecordSink, Protocol):
    """Read and append records, directly at the log or through a peer host."""

    async def read(self, stream: str, offset: int, *, wait_s: float) -> LogPage:
        """Return records from an offset; wait up to wait_s for the first one.

        Raise RecordsExpiredError if the first one was dropped, and LogUnavailableError
        if neither the log nor a peer responds.
        """

    async def fetch_state(self, stream: str) -> PackedState | None:
        """Return a peer's state, for use if the log has no checkpoint."""

    async def find_dropped_records(self, stream: str, offset: int) -> LogPage | None:
        """Return records dropped by the log, from a host that appended or read them."""

    async def may_skip_record(self, stream: str, offset: int) -> bool:
        """Return whether this host may skip the lost record at an offset."""

    async def is_folded_by_peer(self, stream: str, offset: int) -> bool:
        """Return whether a live peer has folded all records before an offset.

        Return True if there is no live peer.
        """


class StreamFold(Protocol):
    """Fold one kind of stream; hide its codec, state and checkpoint format."""

    @property
    def next_offset(self) -> int:
        """Return the next offset to fold."""

    def decode(self, data: bytes) -> Any:
        """Decode an envelope, or raise MalformedMessageError."""

    def encode(self, incarnation: str, sequence: int, record: Any) -> bytes:
        """Encode a record in its envelope."""

    def fold(self, offset: int, envelope: Any) -> Verdict:
        """Apply an envelope at its offset and return the verdict."""

    def skip(self, offset: int) -> None:
        """Advance past an offset without a valid record."""

    def restore(self, packed: PackedState) -> bool:
        """Replace the state if the packed one is newer; return whether it was."""

    def dump(self) -> DumpedState:
        """Return the current state in serialized form."""

    def get_last_sequence(self, incarnation: str) -> int:
        """Return the last sequence folded from an incarnation, or -1."""

    def get_restored_verdict(self, incarnation: str, record: Any) -> Verdict:
        """Return the verdict that a restored state shows on a record of this host."""
