"""Recognize repeated requests, and parts that prompts share; pure."""

import hashlib
from collections.abc import Iterable

from trefoilstage.helpers.events import truncate_text

FINGERPRINT_BYTES = 12
# Limits the memory that the parts of one prompt take.
MAX_PARTS = 64
MAX_PART_NAME_LENGTH = 64


def fingerprint_request(
    *, caller: str, method: str, host: str, path: str, body: bytes
) -> str:
    """Return a digest that only repeats of the same request share."""
    # With a digest that is not cryptographic, a caller could construct a request that
    # has the fingerprint of another caller's request.
    digest = hashlib.blake2b(digest_size=FINGERPRINT_BYTES)
    for text in (caller, method, host, path):
        digest.update(f"{len(text)}:{text}".encode())
    digest.update(body)
    return digest.hexdigest()


def identify_parts(names: Iterable[str]) -> tuple[str, ...]:
    """Return identifiers of a prompt's parts, without repeats and of limited size."""
    identifiers = dict.fromkeys(map(_limit_name, names))
    return tuple(identifiers)[:MAX_PARTS]


def describe_parts(parts: Iterable[str]) -> str:
    """Return parts of prompts as one field of a log line."""
    return truncate_text(",".join(parts))


def _limit_name(name: str) -> str:
    if name.isalnum() and name.isascii() and len(name) <= MAX_PART_NAME_LENGTH:
        return name
    return hashlib.blake2b(name.encode(), digest_size=FINGERPRINT_BYTES).hexdigest()
