"""Define the crash of a target under a request, and its record in the store."""

from dataclasses import dataclass, field
from typing import Annotated

import xxhash
from pydantic import Field, TypeAdapter, ValidationError

from trefoilstage.components.crashes.fingerprint import MAX_PARTS
from trefoilstage.components.views.keyed_view import KeyedRecord
from trefoilstage.exceptions import MalformedMessageError
from trefoilstage.helpers.field_types import ShortText, UInt53

SEPARATOR = "/"
# Hosts of builds that know only crashes skip a key without their separator.
SOUND_PART_PREFIX = "sound|"
# Keeps a record's key within the 255 bytes that the store accepts.
MAX_TARGET_NAME_BYTES = 150
# A record without a value deletes its key. Hosts of earlier builds write this one.
EMPTY_VALUE = b"1"

Parts = Annotated[tuple[ShortText, ...], Field(max_length=MAX_PARTS)]


@dataclass(frozen=True, kw_only=True, slots=True)
class Crash:
    """Represent that a target stopped while a request was starting to run there."""

    fingerprint: ShortText  # of the request
    target: ShortText  # its incarnation, or a digest if that is long
    # Parts of the prompt that other requests may share and that ran nowhere lately, as
    # far as the observing host knows.
    parts: Parts = field(default=(), compare=False)
    # When the observing host noticed it, by its clock in Unix ms; 0 if unknown.
    at_ms: UInt53 = field(default=0, compare=False)

    @property
    def key(self) -> str:
        """Return the key of the crash's record in the store."""
        return f"{self.fingerprint}{SEPARATOR}{self.target}"

    @property
    def value(self) -> bytes:
        """Return the value of the crash's record in the store."""
        return DETAILS.dump_json(CrashDetails(parts=self.parts, at_ms=self.at_ms))


@dataclass(frozen=True, kw_only=True, slots=True)
class CrashDetails:
    """Represent what a crash's record holds beside its key."""

    parts: Parts = ()
    at_ms: UInt53 = 0


@dataclass(frozen=True, kw_only=True, slots=True)
class SoundPart:
    """Represent that a part of prompts ran, which earlier crashes made suspect."""

    part: ShortText
    # When a host learned it, in Unix ms; 0 if unknown. Hosts don't notice a record that
    # is written again with the same value.
    at_ms: UInt53 = field(default=0, compare=False)

    @property
    def key(self) -> str:
        """Return the key of the part's record in the store."""
        return f"{SOUND_PART_PREFIX}{self.part}"

    @property
    def value(self) -> bytes:
        """Return the value of the part's record in the store."""
        return str(self.at_ms).encode()


CrashRecord = Crash | SoundPart
DETAILS = TypeAdapter(CrashDetails)


def decode_record(record: KeyedRecord) -> CrashRecord:
    """Return what a record represents, or raise MalformedMessageError."""
    if record.key.startswith(SOUND_PART_PREFIX):
        return SoundPart(part=record.key.removeprefix(SOUND_PART_PREFIX))
    fingerprint, separator, target = record.key.partition(SEPARATOR)
    if not (fingerprint and separator and target):
        raise MalformedMessageError(f"key {record.key!r} lacks a request or a target")
    details = decode_details(record)
    return Crash(
        fingerprint=fingerprint,
        target=target,
        parts=details.parts,
        at_ms=details.at_ms,
    )


def decode_details(record: KeyedRecord) -> CrashDetails:
    """Return the details of a crash, or raise MalformedMessageError."""
    if record.value is None or record.value == EMPTY_VALUE:
        return CrashDetails()
    try:
        return DETAILS.validate_json(record.value)
    except ValidationError as error:
        raise MalformedMessageError(
            f"key {record.key!r}: {error.error_count()} invalid fields"
        ) from error


def make_crash(
    fingerprint: str, target: str, *, parts: tuple[str, ...] = (), at_ms: int = 0
) -> Crash:
    """Return the crash of a target's incarnation under a request.

    A name too long for a record's key is replaced by its digest.
    """
    name = target.encode()
    if len(name) > MAX_TARGET_NAME_BYTES:
        target = xxhash.xxh3_64_hexdigest(name)
    return Crash(fingerprint=fingerprint, target=target, parts=parts, at_ms=at_ms)
