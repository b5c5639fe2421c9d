"""Define the crash of a target under a request, and its record in the store."""

from dataclasses import dataclass

import xxhash

from trefoilstage.components.views.keyed_view import KeyedRecord
from trefoilstage.exceptions import MalformedMessageError
from trefoilstage.helpers.field_types import ShortText

SEPARATOR = "/"
# Keeps a record's key within the 255 bytes that the store accepts.
MAX_TARGET_NAME_BYTES = 150


@dataclass(frozen=True, kw_only=True, slots=True)
class Crash:
    """Represent that a target stopped while a request was starting to run there."""

    fingerprint: ShortText  # of the request
    target: ShortText  # its incarnation, or a digest if that is long

    @property
    def key(self) -> str:
        """Return the key of the crash's record in the store."""
        return f"{self.fingerprint}{SEPARATOR}{self.target}"


def decode_crash(record: KeyedRecord) -> Crash:
    """Return the crash that a record represents, or raise MalformedMessageError."""
    fingerprint, separator, target = record.key.partition(SEPARATOR)
    if not (fingerprint and separator and target):
        raise MalformedMessageError(f"key {record.key!r} lacks a request or a target")
    return Crash(fingerprint=fingerprint, target=target)


def make_crash(fingerprint: str, target: str) -> Crash:
    """Return the crash of a target's incarnation under a request.

    A name too long for a record's key is replaced by its digest.
    """
    name = target.encode()
    if len(name) > MAX_TARGET_NAME_BYTES:
        target = xxhash.xxh3_64_hexdigest(name)
    return Crash(fingerprint=fingerprint, target=target)
