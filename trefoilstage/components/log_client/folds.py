"""Bind each kind of stream to its codec, fold and checkpoint form."""

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
from trefoilstage.ledger.fold import fold_envelope, skip_offset
from trefoilstage.ledger.records import (
    LEDGER_CODEC,
    Intent,
    LedgerEnvelope,
    TopUp,
    Upgrade,
)
from trefoilstage.ledger.state import LedgerState

WARM_UP_FILES = 2
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
        """Return the present state."""
        return self._blackboard.ledgers[self._number]

    @property
    def next_offset(self) -> int:
        """Return the first offset that is not folded yet."""
        return self.state.next_offset

    def decode(self, data: bytes) -> LedgerEnvelope:
        """Return the envelope in a record's bytes."""
        envelope = LEDGER_CODEC.decode(data)
        check_version(envelope.version, self.state.fold_version)
        return envelope

    def encode(self, incarnation: str, sequence: int, record: Any) -> bytes:
        """Return the bytes of an envelope."""
        return LEDGER_CODEC.encode(
            LedgerEnvelope(incarnation=incarnation, sequence=sequence, record=record)
        )

    def fold(self, offset: int, envelope: LedgerEnvelope) -> Verdict:
        """Apply an envelope at its offset."""
        check_upgrade(envelope.record, self.state.fold_version)
        return fold_envelope(self.state, offset, envelope)

    def skip(self, offset: int) -> None:
        """Pass over an offset whose bytes are no record."""
        skip_offset(self.state, offset)

    def restore(self, packed: PackedState) -> bool:
        """Take a state newer than the present one; tell whether it was."""
        if not is_restorable(packed, self.next_offset):
            return False
        state = unpack_state(LEDGER_STATE_ADAPTER, packed)
        self._blackboard.ledgers[self._number] = state
        return True

    def dump(self) -> DumpedState:
        """Return the present state's bytes."""
        return dump_state(LEDGER_STATE_ADAPTER, self.state, self.next_offset)

    def get_last_sequence(self, incarnation: str) -> int:
        """Return the last sequence folded from an incarnation, or -1."""
        return self.state.sequences.get(incarnation, -1)

    def judge_restored(self, incarnation: str, record: Any) -> Verdict:
        """Return the verdict that a restored state shows on a record of ours."""
        return judge_ledger(record, self.state, incarnation)


class ConfigFold:
    """Fold the configuration stream into the blackboard."""

    def __init__(self, *, blackboard: Blackboard) -> None:
        self._blackboard = blackboard
        self._merger = IncrementalMerger()

    @property
    def state(self) -> ConfigState:
        """Return the present state."""
        return self._blackboard.config

    @property
    def next_offset(self) -> int:
        """Return the first offset that is not folded yet."""
        return self.state.next_offset

    def decode(self, data: bytes) -> ConfigEnvelope:
        """Return the envelope in a record's bytes."""
        envelope = CONFIG_CODEC.decode(data)
        check_version(envelope.version, self.state.fold_version)
        return envelope

    def encode(self, incarnation: str, sequence: int, record: Any) -> bytes:
        """Return the bytes of an envelope."""
        return CONFIG_CODEC.encode(
            ConfigEnvelope(incarnation=incarnation, sequence=sequence, record=record)
        )

    def fold(self, offset: int, envelope: ConfigEnvelope) -> Verdict:
        """Apply an envelope at its offset."""
        check_upgrade(envelope.record, self.state.fold_version)
        return fold_config_envelope(self.state, offset, envelope, self._merger)

    def warm_up(self) -> None:
        """Prepare a few files so that the next change does not stall the loop."""
        files = {name: item.content for name, item in self.state.files.items()}
        self._merger.warm_up(files, WARM_UP_FILES)

    def skip(self, offset: int) -> None:
        """Pass over an offset whose bytes are no record."""
        self.state.next_offset = max(self.state.next_offset, offset + 1)

    def restore(self, packed: PackedState) -> bool:
        """Take a state newer than the present one; tell whether it was."""
        if not is_restorable(packed, self.next_offset):
            return False
        self._blackboard.config = unpack_state(CONFIG_STATE_ADAPTER, packed)
        return True

    def dump(self) -> DumpedState:
        """Return the present state's bytes."""
        return dump_state(CONFIG_STATE_ADAPTER, self.state, self.next_offset)

    def get_last_sequence(self, incarnation: str) -> int:
        """Return the last sequence folded from an incarnation, or -1."""
        return self.state.sequences.get(incarnation, -1)

    def judge_restored(self, incarnation: str, record: Any) -> Verdict:
        """Return the verdict that a restored state shows on a record of ours."""
        if isinstance(record, Publish | Remove):
            verdict = find_operation_verdict(self.state, record.operation)
            return verdict or Rejected(reason=Reason.NOT_READY)
        return ACCEPTED


def is_restorable(packed: PackedState, next_offset: int) -> bool:
    """Tell whether a checkpoint is newer and of a version this host folds."""
    return packed.fold_version == FOLD_VERSION and packed.offset > next_offset


def check_version(version: int, stream_version: int) -> None:
    """Take records only of versions that the stream has gone over to."""
    # A host that knows a newer version would apply such a record and one that
    # does not would skip it: the two would part. Until the stream's own
    # Upgrade record, every host of every version skips it alike.
    if not RECORD_VERSION <= version <= stream_version:
        raise MalformedMessageError(
            f"version {version}, the stream is at {stream_version}"
        )


def check_upgrade(record: object, stream_version: int) -> None:
    """Stop before a version that this host cannot fold; it must not guess."""
    if not isinstance(record, Upgrade):
        return
    if record.version == stream_version + 1 and record.version > FOLD_VERSION:
        raise UnsupportedVersionError(f"fold version {record.version} is not known")


@singledispatch
def judge_ledger(record: object, state: LedgerState, incarnation: str) -> Verdict:
    """Return the verdict that a state shows; NOT_READY sends callers to the state."""
    return Rejected(reason=Reason.NOT_READY)


@judge_ledger.register
def _(record: TopUp, state: LedgerState, incarnation: str) -> Verdict:
    account = state.accounts.get(record.account)
    if account is None or record.operation not in account.operations:
        return Rejected(reason=Reason.NOT_READY)
    return Accepted(amount=account.operations[record.operation])


@judge_ledger.register
def _(record: Intent, state: LedgerState, incarnation: str) -> Verdict:
    # The state does not tell which of this host's own submissions won, and
    # another one may be running. Only "not to be run again" is always safe.
    present = state.intents.get(record.key)
    if present is not None and present.body_digest != record.body_digest:
        return Rejected(reason=Reason.KEY_REUSED)
    return Rejected(reason=Reason.DUPLICATE)
