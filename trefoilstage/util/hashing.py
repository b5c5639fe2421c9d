"""Hash keys and rank hosts for them."""

import hashlib
import json
from collections.abc import Iterable
from functools import lru_cache

import xxhash

# Accounts and targets of one host; each holds a tuple of names, shared by most.
MAX_RANKINGS = 512


def hash_secret(secret: str) -> str:
    """Return the SHA-256 of a bearer key; only this form is stored."""
    return hashlib.sha256(secret.encode()).hexdigest()


def hash_request_key(workspace: str, key: str) -> str:
    """Return a short digest of a workspace's idempotency key."""
    return xxhash.xxh3_128_hexdigest(f"{len(workspace)}:{workspace}:{key}".encode())


def hash_call(name: str, body: bytes) -> str:
    """Return a digest that tells two calls apart, whatever their JSON spacing."""
    head = f"{len(name)}:{name}:".encode()
    return hashlib.sha256(head + make_canonical(body)).hexdigest()


def make_canonical(body: bytes) -> bytes:
    """Return JSON with sorted keys and no spaces, any other bytes as they are."""
    try:
        value = json.loads(body, object_pairs_hook=read_object)
        return json.dumps(value, sort_keys=True, separators=(",", ":")).encode()
    except (ValueError, RecursionError):
        return body


def read_object(pairs: list[tuple[str, object]]) -> dict[str, object]:
    """Return an object, or raise ValueError when a key stands twice in it."""
    value = dict(pairs)
    # Readers differ on which of two equal keys counts; such bodies stay apart.
    if len(value) != len(pairs):
        raise ValueError("a key stands twice")
    return value


def rank_by_rendezvous(key: str, names: Iterable[str]) -> list[str]:
    """Return the names in highest-random-weight order for a key."""
    return list(rank_names(key, tuple(names)))


@lru_cache(maxsize=MAX_RANKINGS)
def rank_names(key: str, names: tuple[str, ...]) -> tuple[str, ...]:
    """Return the order for a key; the same few are asked for again and again."""

    def weigh(name: str) -> tuple[int, str]:
        return xxhash.xxh3_64_intdigest(f"{key}|{name}".encode()), name

    return tuple(sorted(names, key=weigh, reverse=True))


def pick_stream(account: str, n_streams: int) -> int:
    """Return the number of the ledger stream that holds an account."""
    return int(xxhash.xxh3_64_intdigest(account.encode()) % n_streams)
