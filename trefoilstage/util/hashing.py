"""Hash keys and rank hosts for them."""

import hashlib
from collections.abc import Iterable

import xxhash


def hash_secret(secret: str) -> str:
    """Return the SHA-256 of a bearer key; only this form is stored."""
    return hashlib.sha256(secret.encode()).hexdigest()


def hash_request_key(workspace: str, key: str) -> str:
    """Return a short digest of a workspace's idempotency key."""
    return xxhash.xxh3_128_hexdigest(f"{len(workspace)}:{workspace}:{key}".encode())


def hash_body(body: bytes) -> str:
    """Return a digest that tells two request bodies apart."""
    return hashlib.sha256(body).hexdigest()


def rank_by_rendezvous(key: str, names: Iterable[str]) -> list[str]:
    """Return the names in highest-random-weight order for a key."""

    def weigh(name: str) -> tuple[int, str]:
        return xxhash.xxh3_64_intdigest(f"{key}|{name}".encode()), name

    return sorted(names, key=weigh, reverse=True)


def pick_stream(account: str, n_streams: int) -> int:
    """Return the number of the ledger stream that holds an account."""
    return int(xxhash.xxh3_64_intdigest(account.encode()) % n_streams)
