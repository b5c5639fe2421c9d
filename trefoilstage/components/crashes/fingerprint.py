"""Recognize a request that comes again; pure."""

import hashlib

FINGERPRINT_BYTES = 12


def fingerprint_request(
    *, caller: str, method: str, host: str, path: str, body: bytes
) -> str:
    """Return a digest that a request shares with its repeats alone."""
    # Cryptographic: with a weaker digest a caller could make up a request that has
    # the fingerprint of another caller's.
    digest = hashlib.blake2b(digest_size=FINGERPRINT_BYTES)
    for text in (caller, method, host, path):
        digest.update(f"{len(text)}:{text}".encode())
    digest.update(body)
    return digest.hexdigest()
