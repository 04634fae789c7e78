"""Fingerprints of requests, to recognise repeated ones."""

import hashlib


def fingerprint(organisation: str, body: bytes) -> str:
    """Return a hash of the organisation and the body, 32 hexadecimal digits.

    The body is hashed as received: a caller that repeats a request sends the same
    bytes, and a canonical form would cost another encoding.
    """
    digest = hashlib.sha256(organisation.encode() + b"\x00")
    digest.update(body)
    return digest.hexdigest()[:32]
