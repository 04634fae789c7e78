"""Identifiers for requests, claims and process incarnations."""

import secrets
import time

import xxhash


def new_request_id() -> str:
    """Return a request id whose order follows time, in milliseconds."""
    return f"req_{int(time.time() * 1000):011x}{secrets.token_hex(8)}"


def new_token() -> str:
    """Return a random token for a conditional write."""
    return secrets.token_hex(16)


def new_generation_id() -> str:
    """Return the id of one generation of a request's text."""
    return secrets.token_hex(4)


def new_incarnation() -> int:
    """Return a number that grows with each start of a process."""
    return int(time.time() * 1000)


def rendezvous_weight(key: str, candidate: str) -> int:
    """Return the weight of a candidate for a key; the highest one owns it."""
    return xxhash.xxh64_intdigest(f"{key}\x00{candidate}".encode())
