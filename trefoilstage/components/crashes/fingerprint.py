"""Recognize repeated requests; pure."""

import hashlib

FINGERPRINT_BYTES = 12


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
