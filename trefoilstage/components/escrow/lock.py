"""Prove that a home that has ended did not use its locked tokens; pure.

When all hosts end together, no witness can report what the homes had granted. A home
therefore stores a promise not to use part of its stock, the locked tokens, before a
given time of its machine's monotonic clock, and extends the promise while the store
responds. If its successor on the same machine starts before that time, the locked
tokens are unused. In an outage the promise expires and the home uses the tokens.
"""

from dataclasses import dataclass, field

from trefoilstage.const import MAX_RECORD_BYTES
from trefoilstage.helpers.codec import Codec
from trefoilstage.helpers.field_types import ShortText
from trefoilstage.util.process_start import ProcessStart

# Processes that were killed together started again after 0.9 to 1.3 s and read their
# clock 0.5 s later; a promise is up to 0.8 s old. A shorter lock would have expired by
# then, and a longer one makes callers wait at the start of an outage.
LOCK_DURATION_S = 3.2
RENEW_INTERVAL_S = 0.8
# A host may restart again before an earlier incarnation is retired from the account
# records. It then passes on the proof about that incarnation.
MAX_PROOFS = 4
# If two boots have the same identifier, a restarted monotonic clock shows by its offset
# to the time of day. A step of the time of day only invalidates the proof.
MAX_CLOCK_OFFSET_CHANGE_S = 1.0


@dataclass(frozen=True, kw_only=True, slots=True)
class LockRecord:
    """Represent a host's promise as stored."""

    incarnation: ShortText
    boot: ShortText  # identifies the machine's boot, which restarts the monotonic clock
    until: float  # seconds of that clock
    offset: float  # seconds from that clock to the time of day
    untouched: tuple[ShortText, ...] = ()


LOCK_CODEC: Codec[LockRecord] = Codec(
    message_type=LockRecord, max_bytes=MAX_RECORD_BYTES
)


@dataclass(kw_only=True, slots=True)
class ReserveLock:
    """Represent this incarnation's own promise; closed until it expires."""

    until: float = float("-inf")
    untouched: tuple[str, ...] = field(default=())

    def is_open(self, now: float) -> bool:
        """Return whether locked tokens may be used."""
        return now >= self.until

    def promise(self, now: float) -> float:
        """Extend the lock and return the time until which it is closed.

        The promise applies immediately, whether or not the store replies: a write
        without a reply may have been stored.
        """
        self.until = max(self.until, now + LOCK_DURATION_S)
        return self.until


def list_proven_untouched(
    record: LockRecord | None, start: ProcessStart
) -> tuple[str, ...]:
    """Return the predecessors of a process that provably used no locked tokens.

    A reboot restarts the monotonic clock, so that its time then proves nothing about
    the predecessor.
    """
    if record is None:
        return ()
    proven = record.untouched
    if is_clock_unbroken(record, start) and start.monotonic_s < record.until:
        proven = (*proven, record.incarnation)
    return proven[-MAX_PROOFS:]


def is_clock_unbroken(record: LockRecord, start: ProcessStart) -> bool:
    """Return whether the machine's monotonic clock kept running since a promise."""
    if not start.boot or record.boot != start.boot:
        return False
    return abs(start.offset - record.offset) <= MAX_CLOCK_OFFSET_CHANGE_S
