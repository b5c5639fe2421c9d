"""Bind each kind of stream to its codec, fold and checkpoint form."""

import zlib
from typing import Any

import cbor2
from pydantic import TypeAdapter

from trefoilstage.blackboard import Blackboard
from trefoilstage.configuration.fold import ConfigState, fold_config_envelope
from trefoilstage.configuration.records import CONFIG_CODEC, ConfigEnvelope
from trefoilstage.const import FOLD_VERSION
from trefoilstage.helpers.verdict import Verdict
from trefoilstage.ledger.fold import fold_envelope, skip_offset
from trefoilstage.ledger.records import LEDGER_CODEC, Checkpoint, LedgerEnvelope
from trefoilstage.ledger.state import LedgerState

LEDGER_STATE_ADAPTER = TypeAdapter(LedgerState)
CONFIG_STATE_ADAPTER = TypeAdapter(ConfigState)


def pack_state(adapter: TypeAdapter[Any], state: Any) -> bytes:
    """Return a state's checkpoint bytes."""
    return zlib.compress(cbor2.dumps(adapter.dump_python(state, mode="python")))


def unpack_state(adapter: TypeAdapter[Any], data: bytes) -> Any:
    """Return the state in checkpoint bytes."""
    return adapter.validate_python(cbor2.loads(zlib.decompress(data)))


class LedgerFold:
    """Fold a ledger stream into the blackboard."""

    def __init__(self, *, blackboard: Blackboard, number: int) -> None:
        self._blackboard = blackboard
        self._number = number
        blackboard.ledgers[number] = LedgerState()

    @property
    def state(self) -> LedgerState:
        """Return the present state."""
        return self._blackboard.ledgers[self._number]

    @property
    def next_offset(self) -> int:
        """Return the first offset that is not folded yet."""
        return self.state.next_offset

    def decode(self, data: bytes) -> LedgerEnvelope:
        """Return the envelope in a record's bytes."""
        return LEDGER_CODEC.decode(data)

    def encode(self, incarnation: str, sequence: int, record: Any) -> bytes:
        """Return the bytes of an envelope."""
        return LEDGER_CODEC.encode(
            LedgerEnvelope(incarnation=incarnation, sequence=sequence, record=record)
        )

    def fold(self, offset: int, envelope: LedgerEnvelope) -> Verdict:
        """Apply an envelope at its offset."""
        return fold_envelope(self.state, offset, envelope)

    def skip(self, offset: int) -> None:
        """Pass over an offset whose bytes are no record."""
        skip_offset(self.state, offset)

    def restore(self, envelope: LedgerEnvelope) -> bool:
        """Take the state from a checkpoint newer than the present one."""
        record = envelope.record
        if not isinstance(record, Checkpoint) or record.fold_version != FOLD_VERSION:
            return False
        if record.offset <= self.next_offset:
            return False
        self._blackboard.ledgers[self._number] = unpack_state(
            LEDGER_STATE_ADAPTER, record.state
        )
        return True

    def make_checkpoint(self) -> Checkpoint:
        """Return a checkpoint record of the present state."""
        return Checkpoint(
            offset=self.next_offset,
            fold_version=FOLD_VERSION,
            state=pack_state(LEDGER_STATE_ADAPTER, self.state),
        )

    def get_last_sequence(self, incarnation: str) -> int:
        """Return the last sequence folded from an incarnation, or -1."""
        return self.state.sequences.get(incarnation, -1)


class ConfigFold:
    """Fold the configuration stream into the blackboard."""

    def __init__(self, *, blackboard: Blackboard) -> None:
        self._blackboard = blackboard

    @property
    def next_offset(self) -> int:
        """Return the first offset that is not folded yet."""
        return self._blackboard.config.next_offset

    def decode(self, data: bytes) -> ConfigEnvelope:
        """Return the envelope in a record's bytes."""
        return CONFIG_CODEC.decode(data)

    def encode(self, incarnation: str, sequence: int, record: Any) -> bytes:
        """Return the bytes of an envelope."""
        return CONFIG_CODEC.encode(
            ConfigEnvelope(incarnation=incarnation, sequence=sequence, record=record)
        )

    def fold(self, offset: int, envelope: ConfigEnvelope) -> Verdict:
        """Apply an envelope at its offset."""
        return fold_config_envelope(self._blackboard.config, offset, envelope)

    def skip(self, offset: int) -> None:
        """Pass over an offset whose bytes are no record."""
        state = self._blackboard.config
        state.next_offset = max(state.next_offset, offset + 1)

    def restore(self, envelope: ConfigEnvelope) -> bool:
        """Take the state from a checkpoint newer than the present one."""
        record = envelope.record
        if not isinstance(record, Checkpoint) or record.fold_version != FOLD_VERSION:
            return False
        if record.offset <= self.next_offset:
            return False
        self._blackboard.config = unpack_state(CONFIG_STATE_ADAPTER, record.state)
        return True

    def make_checkpoint(self) -> Checkpoint:
        """Return a checkpoint record of the present state."""
        return Checkpoint(
            offset=self.next_offset,
            fold_version=FOLD_VERSION,
            state=pack_state(CONFIG_STATE_ADAPTER, self._blackboard.config),
        )

    def get_last_sequence(self, incarnation: str) -> int:
        """Return the last sequence folded from an incarnation, or -1."""
        return self._blackboard.config.sequences.get(incarnation, -1)
