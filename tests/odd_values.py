"""Odd values that another writer may leave in a row, for tests of decoders."""

import json

MANY_DIGITS = 10**400  # does not fit into a float
MANY_LEVELS = 100_000  # of nesting; more than the interpreter's stack allows
# Replaced in the encoded text, for values that json.dumps() does not write.
MARK = "@value@"

ENTRY = {
    "service": "plain",
    "address": "127.0.0.1:1",
    "zone": "a",
    "version": 1,
    "slots": 8,
    "state": "ready",
    "cold_left_ms": 0,
    "sequence": 3,
    "born": 1_700_000_000_000,
}
WRONG_TEXTS = (5, True, [], {}, "", "\ud800", "z" * 201, ["plain"])
WRONG_COUNTS = (True, -1, 1.5, "8", [], 2**64, MANY_DIGITS)
WRONG_FIELDS = {
    "service": WRONG_TEXTS,
    "zone": WRONG_TEXTS,
    "state": ("odd", 5, True, [], {}, [["ready"]]),
    "slots": (*WRONG_COUNTS, 0, 10**18),
    "born": WRONG_COUNTS,
    "spot": ("yes", 1, []),
    "address": (
        5,
        [],
        {},
        "",
        "127.0.0.1",
        "127.0.0.1:",
        "127.0.0.1:0",
        "127.0.0.1:-1",
        "127.0.0.1:65536",
        f"127.0.0.1:{MANY_DIGITS}",
        "127.0.0.1:٣٣",
        "127.0.0.1:²",
        "127.0.0.1: 1",
        "127.0.0.1:1\n",
        ":1",
        "..:1",
        "localhost:1",
        "256.0.0.1:1",
        "127.0.0.1\0:1",
        "127 .0.0.1:1",
        "ü:1",
        "\ud800:1",
        "x" * 300 + ":1",
    ),
}
# JSON texts of values that no field may hold.
WRONG_JSON = ("1e400", "NaN", "-Infinity", "9" * 5000, "[" * MANY_LEVELS)
NOT_OBJECTS = (
    b"",
    b"null",
    b"5",
    b'"x"',
    b"[]",
    b"{",
    b"\xff\xfe\xfa",
    b"[" * MANY_LEVELS,
    b'{"a":' * MANY_LEVELS,
    json.dumps(ENTRY).encode("utf-16"),
)


def encode(fields: dict) -> bytes:
    """Return an object as JSON."""
    return json.dumps(fields).encode()


def encode_with(fields: dict, name: str, text: str) -> bytes:
    """Return an object as JSON in which a field has a value given as JSON."""
    data = json.dumps({**fields, name: MARK})
    return data.replace(f'"{MARK}"', text).encode()


def odd_entries() -> list[tuple[str, bytes]]:
    """Return malformed entries of endpoints, with what is odd about each."""
    entries = [(f"value {value[:20]!r}", value) for value in NOT_OBJECTS]
    for name, values in WRONG_FIELDS.items():
        entries += [
            (f"{name}={value!r:.30}", encode({**ENTRY, name: value}))
            for value in values
        ]
        entries += [
            (f"{name}={text:.30}", encode_with(ENTRY, name, text))
            for text in WRONG_JSON
        ]
        without = {key: value for key, value in ENTRY.items() if key != name}
        if name not in ("born", "spot"):
            entries.append((f"no {name}", encode(without)))
    return entries
