"""Identifiers for requests, claims and process incarnations."""

import secrets
import time

import xxhash


def new_request_id() -> str:
    """Return a random request id; ids sort by their creation time in milliseconds."""
    return f"req_{int(time.time() * 1000):011x}{secrets.token_hex(8)}"


def new_write_token() -> str:
    """Return a random token for a conditional write."""
    return secrets.token_hex(16)


def new_generation_id() -> str:
    """Return a random id for one generation of a request's output."""
    return secrets.token_hex(4)


def new_incarnation() -> int:
    """Return the start time of a process in Unix milliseconds.

    A later start of the same node has a higher incarnation.
    """
    return int(time.time() * 1000)


def rendezvous_weight(key: str, candidate: str) -> int:
    """Return the rendezvous hash of a candidate; the highest one owns the key."""
    return xxhash.xxh64_intdigest(f"{key}\x00{candidate}".encode())
