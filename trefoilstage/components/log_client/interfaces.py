"""Say what a stream needs of its source and its fold."""

from typing import Any, Protocol

from trefoilstage.components.log_client.checkpoints import DumpedState, PackedState
from trefoilstage.components.log_client.client import LogPage
from trefoilstage.components.log_client.writer import RecordSink
from trefoilstage.helpers.verdict import Verdict


class RecordSource(RecordSink, Protocol):
    """Read and append records, at the log or through a peer."""

    async def read(self, stream: str, offset: int, *, wait_s: float) -> LogPage:
        """Return records from an offset on."""

    async def fetch_state(self, stream: str) -> PackedState | None:
        """Return a peer's state, where the log has no checkpoint."""

    async def search(self, stream: str, offset: int) -> LogPage | None:
        """Return records that the log dropped, from whoever appended or read them."""

    async def is_lost(self, stream: str, offset: int) -> bool:
        """Tell whether this host is to go on without the record at an offset."""

    async def is_shared(self, stream: str, offset: int) -> bool:
        """Tell whether another host, if one lives, has folded up to an offset."""


class StreamFold(Protocol):
    """Fold one kind of stream; hides its codec, state and checkpoint form."""

    @property
    def next_offset(self) -> int:
        """Return the first offset that is not folded yet."""

    def decode(self, data: bytes) -> Any:
        """Return the envelope in a record's bytes."""

    def encode(self, incarnation: str, sequence: int, record: Any) -> bytes:
        """Return the bytes of an envelope."""

    def fold(self, offset: int, envelope: Any) -> Verdict:
        """Apply an envelope at its offset."""

    def skip(self, offset: int) -> None:
        """Pass over an offset whose bytes are no record."""

    def restore(self, packed: PackedState) -> bool:
        """Take a state newer than the present one; tell whether it was."""

    def dump(self) -> DumpedState:
        """Return the present state's bytes."""

    def get_last_sequence(self, incarnation: str) -> int:
        """Return the last sequence folded from an incarnation, or -1."""

    def judge_restored(self, incarnation: str, record: Any) -> Verdict:
        """Return the verdict that a restored state shows on a record of ours."""
