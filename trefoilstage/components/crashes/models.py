"""Define the crash of a target under a request, and its record in the store."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Annotated

import xxhash
from pydantic import Field, TypeAdapter, ValidationError

from trefoilstage.components.crashes.fingerprint import MAX_PARTS
from trefoilstage.components.views.keyed_view import KeyedRecord
from trefoilstage.exceptions import MalformedMessageError
from trefoilstage.helpers.field_types import ShortText, UInt53
from trefoilstage.util.hashing import rank_by_rendezvous_cached

SEPARATOR = "/"
# Hosts of builds that know only crashes skip a key without their separator.
SOUND_PART_PREFIX = "sound|"
# Between an incarnation and the number of its crashes.
RESTART_MARK = "~"
# Keeps a record's key within the 255 bytes that the store accepts.
MAX_TARGET_NAME_BYTES = 150
# A record without a value deletes its key. Hosts of earlier builds write this one.
EMPTY_VALUE = b"1"

Parts = Annotated[tuple[ShortText, ...], Field(max_length=MAX_PARTS)]


@dataclass(frozen=True, kw_only=True, slots=True)
class TargetLoad:
    """Represent what one host knows of the requests under way at a target's stop."""

    target: ShortText  # its incarnation, or a digest, as in a crash
    host: ShortText
    n_own: UInt53  # requests of this host
    n_all: UInt53  # requests of all hosts, as far as known
    n_slots: UInt53
    at_ms: UInt53 = 0  # when the host noticed it, in Unix ms; 0 if unknown


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
    # None if the observing host is of an earlier build.
    load: TargetLoad | None = field(default=None, compare=False)
    # Whether the request was sent alone to find out whether it crashes targets.
    is_trial: bool = field(default=False, compare=False)

    @property
    def key(self) -> str:
        """Return the key of the crash's record in the store."""
        return f"{self.fingerprint}{SEPARATOR}{self.target}"

    @property
    def value(self) -> bytes:
        """Return the value of the crash's record in the store."""
        details = CrashDetails(
            parts=self.parts,
            at_ms=self.at_ms,
            load=self.load,
            is_trial=self.is_trial,
        )
        return DETAILS.dump_json(details)

    @property
    def subject(self) -> str:
        """Return the request that the crash is about."""
        return self.fingerprint


@dataclass(frozen=True, kw_only=True, slots=True)
class CrashDetails:
    """Represent what a crash's record holds beside its key."""

    parts: Parts = ()
    at_ms: UInt53 = 0
    load: TargetLoad | None = None
    is_trial: bool = False


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

    @property
    def subject(self) -> str:
        """Return the part that the record is about."""
        return self.part


CrashRecord = Crash | SoundPart
DETAILS = TypeAdapter(CrashDetails)


def select_assigned(
    records: Iterable[CrashRecord], is_writer: Callable[[str], bool]
) -> list[CrashRecord]:
    """Return the records that a host writes or deletes for all live hosts."""
    return [record for record in records if is_writer(record.subject)]


def is_assigned(
    subject: str, host: str, list_hosts: Callable[[], tuple[str, ...]]
) -> bool:
    """Return whether a host writes what concerns a subject for all live hosts."""
    return rank_by_rendezvous_cached(subject, list_hosts())[:1] == (host,)


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
        load=details.load,
        is_trial=details.is_trial,
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
    fingerprint: str,
    target: str,
    *,
    parts: tuple[str, ...] = (),
    at_ms: int = 0,
    load: TargetLoad | None = None,
    is_trial: bool = False,
) -> Crash:
    """Return the crash of a target's incarnation under a request."""
    return Crash(
        fingerprint=fingerprint,
        target=shorten_target(target),
        parts=parts,
        at_ms=at_ms,
        load=load,
        is_trial=is_trial,
    )


def name_restart(target: str, n_crashes: int) -> str:
    """Return a name for a start that is known only to follow crashes of a target."""
    return shorten_target(f"{target}{RESTART_MARK}{n_crashes}" if n_crashes else target)


def get_target_name(target: str) -> str:
    """Return the name that all starts of a target share, if that is known."""
    return target.partition("@")[0]


def shorten_target(target: str) -> str:
    """Return a target's incarnation, or its digest if it is too long for a key."""
    name = target.encode()
    if len(name) > MAX_TARGET_NAME_BYTES:
        return xxhash.xxh3_64_hexdigest(name)
    return target
