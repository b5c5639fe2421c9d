"""Define what is known of targets that ended under requests."""

from dataclasses import dataclass

import xxhash

from trefoilstage.components.views.keyed_view import KeyedRecord
from trefoilstage.exceptions import MalformedMessageError
from trefoilstage.helpers.fields import Name

SEPARATOR = "/"
# Keeps a record's key within the 255 bytes that the store takes.
MAX_TARGET_NAME_BYTES = 150


@dataclass(frozen=True, kw_only=True, slots=True)
class Crash:
    """Tell that a target ended while a request began to run there."""

    fingerprint: Name  # of the request
    target: Name  # its incarnation, or the digest of a long one

    @property
    def key(self) -> str:
        """Return the key of its record in the store."""
        return f"{self.fingerprint}{SEPARATOR}{self.target}"


def decode_crash(record: KeyedRecord) -> Crash:
    """Return the crash that a record tells of, or raise MalformedMessageError."""
    fingerprint, separator, target = record.key.partition(SEPARATOR)
    if not (fingerprint and separator and target):
        raise MalformedMessageError(f"key {record.key!r} names no request and target")
    return Crash(fingerprint=fingerprint, target=target)


def make_crash(fingerprint: str, target: str) -> Crash:
    """Return the crash of a target's incarnation under a request."""
    name = target.encode()
    if len(name) > MAX_TARGET_NAME_BYTES:
        target = xxhash.xxh3_64_hexdigest(name)
    return Crash(fingerprint=fingerprint, target=target)
