"""Simulate a host that reads a log with the product's own folds."""

import asyncio

from trefoilstage.blackboard import Blackboard
from trefoilstage.components.log_client.checkpoints import (
    CheckpointAssembly,
    PackedState,
    compress_state,
)
from trefoilstage.components.log_client.folds import ConfigFold, LedgerFold
from trefoilstage.exceptions import MalformedMessageError
from trefoilstage.ledger.records import Checkpoint


class SimulatedHost:
    """Simulate one incarnation of a host that folds configuration and limits."""

    def __init__(self, *, incarnation: str) -> None:
        self.incarnation = incarnation
        self.sequence = -1
        self.ledger_sequence = -1
        self.blackboard = Blackboard(host="h", incarnation=incarnation, data_center="d")
        self.config = ConfigFold(blackboard=self.blackboard)
        self.ledger = LedgerFold(blackboard=self.blackboard, number=0)

    def encode(self, record: object) -> bytes:
        """Return the record's bytes with this host's next sequence number."""
        self.sequence += 1
        return self.config.encode(self.incarnation, self.sequence, record)

    def read(self, log: dict[int, bytes], earliest: int, n_records: int) -> None:
        """Fold up to `n_records`, after a checkpoint if the next one has expired."""
        if self.config.next_offset < earliest and not self.restore(log):
            return
        for _ in range(n_records):
            offset = self.config.next_offset
            if offset not in log:
                return
            try:
                self.config.fold(offset, self.config.decode(log[offset]))
            except MalformedMessageError:
                self.config.skip(offset)

    def restore(self, log: dict[int, bytes]) -> bool:
        """Restore the first complete checkpoint that retained records continue."""
        assembly = CheckpointAssembly()
        for offset in sorted(log):
            try:
                envelope = self.config.decode(log[offset])
            except MalformedMessageError:
                continue
            if not isinstance(envelope.record, Checkpoint):
                continue
            packed = assembly.add(envelope.incarnation, envelope.record)
            if packed is not None and packed.offset >= min(log):
                return self.config.restore(packed)
        return False


def pack_configuration(host: SimulatedHost) -> PackedState:
    """Return a host's configuration state, packed for a checkpoint."""
    return asyncio.run(compress_state(host.config.dump()))
