"""Hash keys and rank names for a key by rendezvous hashing."""

import hashlib
import json
from collections.abc import Iterable
from functools import lru_cache

import xxhash

# Covers the accounts and targets of one host. An entry costs little memory, because
# most entries share one tuple of names.
RANKING_CACHE_SIZE = 512


def hash_secret(secret: str) -> str:
    """Return the SHA-256 digest of a bearer key; the key itself is not stored."""
    return hashlib.sha256(secret.encode()).hexdigest()


def hash_idempotency_key(workspace: str, key: str) -> str:
    """Return a short digest of a workspace's idempotency key."""
    return xxhash.xxh3_128_hexdigest(f"{len(workspace)}:{workspace}:{key}".encode())


def hash_call(name: str, body: bytes) -> str:
    """Return a digest of a call that ignores JSON spacing and key order."""
    head = f"{len(name)}:{name}:".encode()
    return hashlib.sha256(head + canonicalize_json(body)).hexdigest()


def canonicalize_json(body: bytes) -> bytes:
    """Return JSON with sorted keys and no spaces; return other bytes unchanged."""
    try:
        value = json.loads(body, object_pairs_hook=parse_object)
        return json.dumps(value, sort_keys=True, separators=(",", ":")).encode()
    except (ValueError, RecursionError):
        return body


def parse_object(pairs: list[tuple[str, object]]) -> dict[str, object]:
    """Return a JSON object, or raise ValueError if it has a duplicate key."""
    value = dict(pairs)
    # JSON parsers differ in which duplicate they keep, so a body with duplicate keys
    # is not canonicalized.
    if len(value) != len(pairs):
        raise ValueError("JSON object has a duplicate key")
    return value


def rank_by_rendezvous(key: str, names: Iterable[str]) -> list[str]:
    """Return the names in rendezvous (highest random weight) order for a key."""
    return list(rank_by_rendezvous_cached(key, tuple(names)))


@lru_cache(maxsize=RANKING_CACHE_SIZE)
def rank_by_rendezvous_cached(key: str, names: tuple[str, ...]) -> tuple[str, ...]:
    """Return the rendezvous order for a key, cached because few orders are used."""

    def compute_weight(name: str) -> tuple[int, str]:
        return xxhash.xxh3_64_intdigest(f"{key}|{name}".encode()), name

    return tuple(sorted(names, key=compute_weight, reverse=True))


def hash_to_bucket(key: str, n_buckets: int) -> int:
    """Return the index, below n_buckets, of the bucket that a key hashes to."""
    return int(xxhash.xxh3_64_intdigest(key.encode()) % n_buckets)
