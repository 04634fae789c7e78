"""Hash ranks for stable assignment and for seeded ties."""

import xxhash


def hash_rank(key: str, candidate: str) -> int:
    """Return the rank of a candidate for a key."""
    return xxhash.xxh64_intdigest(f"{key}\x00{candidate}".encode())
