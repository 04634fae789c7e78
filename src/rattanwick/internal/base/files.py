"""Digests of files, to detect changes."""

import hashlib


def digest_files(*paths: str) -> bytes:
    """Return one SHA-256 digest over the contents of files, in the given order.

    Modification times would not do: a deployment tool can write a new file with the
    time of the old one. Raises OSError for a file that cannot be read.
    """
    digest = hashlib.sha256()
    for path in paths:
        with open(path, "rb") as file:
            digest.update(hashlib.sha256(file.read()).digest())
    return digest.digest()
