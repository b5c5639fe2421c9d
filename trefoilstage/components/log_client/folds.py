"""Combine the codec, fold and checkpoint format of each kind of stream."""

from functools import singledispatch
from typing import Any

from pydantic import TypeAdapter

from trefoilstage.blackboard import Blackboard
from trefoilstage.components.log_client.checkpoints import (
    DumpedState,
    PackedState,
    dump_state,
    unpack_state,
)
from trefoilstage.configuration.fold import (
    ConfigState,
    find_operation_verdict,
    fold_config_envelope,
)
from trefoilstage.configuration.incremental import IncrementalMerger
from trefoilstage.configuration.records import (
    CONFIG_CODEC,
    ConfigEnvelope,
    Publish,
    Remove,
)
from trefoilstage.const import FOLD_VERSION, RECORD_VERSION
from trefoilstage.exceptions import MalformedMessageError, UnsupportedVersionError
from trefoilstage.helpers.verdict import ACCEPTED, Accepted, Reason, Rejected, Verdict
from trefoilstage.ledger.fold import fold_ledger_envelope, skip_offset
from trefoilstage.ledger.records import (
    LEDGER_CODEC,
    Intent,
    LedgerEnvelope,
    TopUp,
    Upgrade,
)
from trefoilstage.ledger.state import LedgerState

FILES_PER_WARM_UP = 2
LEDGER_STATE_ADAPTER = TypeAdapter(LedgerState)
CONFIG_STATE_ADAPTER = TypeAdapter(ConfigState)


class LedgerFold:
    """Fold a ledger stream into the blackboard."""

    def __init__(self, *, blackboard: Blackboard, number: int) -> None:
        self._blackboard = blackboard
        self._number = number
        blackboard.ledgers[number] = LedgerState()

    @property
    def state(self) -> LedgerState:
        """Return the current state."""
        return self._blackboard.ledgers[self._number]

    @property
    def next_offset(self) -> int:
        """Return the next offset to fold."""
        return self.state.next_offset

    def decode(self, data: bytes) -> LedgerEnvelope:
        """Decode an envelope, or raise MalformedMessageError."""
        envelope = LEDGER_CODEC.decode(data)
        check_version(envelope.version, self.state.fold_version)
        return envelope

    def encode(self, incarnation: str, sequence: int, record: Any) -> bytes:
        """Encode a record in its envelope."""
        return LEDGER_CODEC.encode(
            LedgerEnvelope(incarnation=incarnation, sequence=sequence, record=record)
        )

    def fold(self, offset: int, envelope: LedgerEnvelope) -> Verdict:
        """Apply an envelope at its offset and return the verdict."""
        check_upgrade(envelope.record, self.state.fold_version)
        return fold_ledger_envelope(self.state, offset, envelope)

    def skip(self, offset: int) -> None:
        """Advance past an offset without a valid record."""
        skip_offset(self.state, offset)

    def restore(self, packed: PackedState) -> bool:
        """Replace the state if the packed one is newer; return whether it was."""
        if not is_restorable(packed, self.next_offset):
            return False
        state = unpack_state(LEDGER_STATE_ADAPTER, packed)
        self._blackboard.ledgers[self._number] = state
        return True

    def dump(self) -> DumpedState:
        """Return the current state in serialized form."""
        return dump_state(LEDGER_STATE_ADAPTER, self.state, self.next_offset)

    def get_last_sequence(self, incarnation: str) -> int:
        """Return the last sequence folded from an incarnation, or -1."""
        return self.state.sequences.get(incarnation, -1)

    def get_restored_verdict(self, incarnation: str, record: Any) -> Verdict:
        """Return the verdict on a record of this host, as a restored state shows it."""
        return get_restored_ledger_verdict(record, self.state, incarnation)


class ConfigFold:
    """Fold the configuration stream into the blackboard."""

    def __init__(self, *, blackboard: Blackboard) -> None:
        self._blackboard = blackboard
        self._merger = IncrementalMerger()

    @property
    def state(self) -> ConfigState:
        """Return the current state."""
        return self._blackboard.config

    @property
    def next_offset(self) -> int:
        """Return the next offset to fold."""
        return self.state.next_offset

    def decode(self, data: bytes) -> ConfigEnvelope:
        """Decode an envelope, or raise MalformedMessageError."""
        envelope = CONFIG_CODEC.decode(data)
        check_version(envelope.version, self.state.fold_version)
        return envelope

    def encode(self, incarnation: str, sequence: int, record: Any) -> bytes:
        """Encode a record in its envelope."""
        return CONFIG_CODEC.encode(
            ConfigEnvelope(incarnation=incarnation, sequence=sequence, record=record)
        )

    def fold(self, offset: int, envelope: ConfigEnvelope) -> Verdict:
        """Apply an envelope at its offset and return the verdict."""
        check_upgrade(envelope.record, self.state.fold_version)
        return fold_config_envelope(self.state, offset, envelope, self._merger)

    def warm_up(self) -> None:
        """Index a few files, so that the next change does not block the event loop."""
        files = {name: item.content for name, item in self.state.files.items()}
        self._merger.warm_up(files, FILES_PER_WARM_UP)

    def skip(self, offset: int) -> None:
        """Advance past an offset without a valid record."""
        self.state.next_offset = max(self.state.next_offset, offset + 1)

    def restore(self, packed: PackedState) -> bool:
        """Replace the state if the packed one is newer; return whether it was."""
        if not is_restorable(packed, self.next_offset):
            return False
        self._blackboard.config = unpack_state(CONFIG_STATE_ADAPTER, packed)
        return True

    def dump(self) -> DumpedState:
        """Return the current state in serialized form."""
        return dump_state(CONFIG_STATE_ADAPTER, self.state, self.next_offset)

    def get_last_sequence(self, incarnation: str) -> int:
        """Return the last sequence folded from an incarnation, or -1."""
        return self.state.sequences.get(incarnation, -1)

    def get_restored_verdict(self, incarnation: str, record: Any) -> Verdict:
        """Return the verdict on a record of this host, as a restored state shows it."""
        if isinstance(record, Publish | Remove):
            verdict = find_operation_verdict(self.state, record.operation)
            return verdict or Rejected(reason=Reason.NOT_READY)
        return ACCEPTED


def is_restorable(packed: PackedState, next_offset: int) -> bool:
    """Return whether a checkpoint is newer and has this host's fold version."""
    return packed.fold_version == FOLD_VERSION and packed.offset > next_offset


def check_version(version: int, stream_version: int) -> None:
    """Raise MalformedMessageError for a version that the stream does not use yet."""
    # A host that supports a newer version would apply such a record and another
    # would skip it, so that their states would diverge. Until the stream has an
    # Upgrade record, hosts of all versions skip it.
    if not RECORD_VERSION <= version <= stream_version:
        raise MalformedMessageError(
            f"record version {version}, but the stream is at {stream_version}"
        )


def check_upgrade(record: object, stream_version: int) -> None:
    """Raise UnsupportedVersionError before an upgrade that this host cannot fold."""
    if not isinstance(record, Upgrade):
        return
    if record.version == stream_version + 1 and record.version > FOLD_VERSION:
        raise UnsupportedVersionError(f"fold version {record.version} is not supported")


@singledispatch
def get_restored_ledger_verdict(
    record: object, state: LedgerState, incarnation: str
) -> Verdict:
    """Return the verdict on a record of this host, as a restored state shows it.

    NOT_READY means that it does not show one; the caller must look into the state.
    """
    return Rejected(reason=Reason.NOT_READY)


@get_restored_ledger_verdict.register
def _(record: TopUp, state: LedgerState, incarnation: str) -> Verdict:
    account = state.accounts.get(record.account)
    if account is None or record.operation not in account.operations:
        return Rejected(reason=Reason.NOT_READY)
    return Accepted(amount=account.operations[record.operation])


@get_restored_ledger_verdict.register
def _(record: Intent, state: LedgerState, incarnation: str) -> Verdict:
    # The state does not show which of this host's own submissions was accepted, and
    # another one may be running. Only DUPLICATE, which prevents a run, is safe.
    intent = state.intents.get(record.key)
    if intent is not None and intent.body_digest != record.body_digest:
        return Rejected(reason=Reason.KEY_REUSED)
    return Rejected(reason=Reason.DUPLICATE)
