"""Digests of files, to detect changes."""

import hashlib


def digest_files(*paths: str) -> bytes:
    """Return one SHA-256 digest over the contents of files, in the given order.

    Modification times are not enough: a deployment tool can give a new file the time
    of the old one. Raises OSError if a file cannot be read.
    """
    digest = hashlib.sha256()
    for path in paths:
        with open(path, "rb") as file:
            digest.update(hashlib.sha256(file.read()).digest())
    return digest.digest()
