"""Prove that a home which has ended did not touch its locked tokens; pure.

When all hosts end at once, nobody is left to say what their homes had granted. A home
therefore promises in the store not to touch part of its stock before a moment of its
machine's steady clock, and puts that moment off while the store answers. A successor
that starts on the same machine before that moment knows that those tokens are unused.
In an outage the moment passes, and the home goes on with them.
"""

from dataclasses import dataclass, field

from trefoilstage.const import MAX_RECORD_BYTES
from trefoilstage.helpers.codec import Codec
from trefoilstage.helpers.fields import Name
from trefoilstage.util.process_start import ProcessStart

# Processes that were killed together were back after 0.9 to 1.3 s and read their clock
# 0.5 s later; a promise is up to 0.8 s old. A shorter lock would have passed by then, a
# longer one keeps callers waiting at the start of an outage.
LOCK_S = 3.2
RENEW_S = 0.8
# A host that restarts twice before its first predecessor is settled passes the proof
# on.
MAX_PROOFS = 4
# A steady clock that began anew, at a machine whose boot can't be told apart, stands
# elsewhere against the time of day. A step of the time of day only costs the proof.
MAX_OFFSET_CHANGE_S = 1.0


@dataclass(frozen=True, kw_only=True, slots=True)
class LockRecord:
    """Hold a host's promise as it stands in the store."""

    incarnation: Name
    boot: Name  # the machine's start; its steady clock begins anew with each
    until: float  # seconds of that clock
    offset: float  # seconds from that clock to the time of day
    untouched: tuple[Name, ...] = ()


LOCK_CODEC: Codec[LockRecord] = Codec(family=LockRecord, max_bytes=MAX_RECORD_BYTES)


@dataclass(kw_only=True, slots=True)
class ReserveLock:
    """Hold this incarnation's own promise."""

    until: float = float("-inf")
    untouched: tuple[str, ...] = field(default=())

    def is_open(self, now: float) -> bool:
        """Tell whether locked tokens may be used."""
        return now >= self.until

    def promise(self, now: float) -> float:
        """Close the lock until the moment returned.

        It binds from now on, whether or not the store's answer arrives: a write
        that seems lost may have landed.
        """
        self.until = max(self.until, now + LOCK_S)
        return self.until


def find_untouched(record: LockRecord | None, start: ProcessStart) -> tuple[str, ...]:
    """Return the predecessors of a process that never touched their locked tokens.

    After a start of the machine the steady clock begins anew, so that its time says
    nothing about the predecessor.
    """
    if record is None:
        return ()
    proven = record.untouched
    if is_same_clock(record, start) and start.at < record.until:
        proven = (*proven, record.incarnation)
    return proven[-MAX_PROOFS:]


def is_same_clock(record: LockRecord, start: ProcessStart) -> bool:
    """Tell whether a machine's steady clock has gone on since a promise."""
    if not start.boot or record.boot != start.boot:
        return False
    return abs(start.offset - record.offset) <= MAX_OFFSET_CHANGE_S
