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

CONFIGURATION = {
    "version": 7,
    "routes": [
        {
            "name": "r-1",
            "host": "api.example",
            "prefix": "/safe/",
            "kind": "safe",
            "timeout_ms": 2000,
            "slo_ms": 500,
            "priority": 0,
            "split": [{"service": "plain", "weight": 9}, {"service": "e", "weight": 1}],
            "max_attempts": 2,
            "public": False,
            "resumable": False,
        }
    ],
    "services": [
        {"name": "plain", "max_conns": 96},
        {
            "name": "e",
            "max_conns": 360,
            "engine": {"slots": 64, "kv_capacity": 374098},
            "scaling": {
                "min": 1,
                "max": 6,
                "spot_price": 0.2,
                "zone_prices": {"a": 1.0},
            },
        },
    ],
    "limits": {
        "max_header_bytes": 16384,
        "max_body_bytes": 4194304,
        "header_timeout_ms": 3000,
        "idle_timeout_ms": 15000,
    },
    "tenants": [
        {
            "name": "org",
            "api_keys": ["key-1"],
            "priority": 1,
            "unit": "tokens",
            "plain_tokens": 200,
            "rate_per_s": 5.5,
            "burst": 10,
        }
    ],
}
OPTIONAL_NAMES = (
    "priority",
    "split",
    "max_attempts",
    "public",
    "resumable",
    "max_conns",
    "engine",
    "scaling",
    "spot_price",
    "zone_prices",
    "tenants",
    "api_keys",
    "unit",
    "plain_tokens",
    "rate_per_s",
    "burst",
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


def _places(value, path: tuple = ()) -> list[tuple]:
    """Return the paths to all fields and elements of a JSON value."""
    if isinstance(value, dict):
        items = value.items()
    elif isinstance(value, list):
        items = enumerate(value)
    else:
        return []
    places = []
    for key, item in items:
        places += [(*path, key), *_places(item, (*path, key))]
    return places


def _replaced(value, path: tuple, new):
    """Return a copy of a JSON value in which the value at a path is another."""
    if not path:
        return new
    copied = value.copy()
    copied[path[0]] = _replaced(value[path[0]], path[1:], new)
    return copied


def odd_configurations() -> list[tuple[str, bytes]]:
    """Return malformed configurations, with what is odd about each."""
    found = [(f"value {value[:20]!r}", value) for value in NOT_OBJECTS]
    for path in _places(CONFIGURATION):
        known = CONFIGURATION
        for key in path:
            known = known[key]
        values = [{"a": [[]]}, [5], "\ud800", MANY_DIGITS, -1]
        if type(known) is not bool:
            values.append(True)
        if path[-1] not in OPTIONAL_NAMES:
            values.append(None)
        found += [
            (f"{path}={value!r:.20}", encode(_replaced(CONFIGURATION, path, value)))
            for value in values
        ]
        for text in WRONG_JSON:
            data = encode(_replaced(CONFIGURATION, path, MARK))
            data = data.replace(f'"{MARK}"'.encode(), text.encode())
            found.append((f"{path}={text:.20}", data))
    for path, value in (
        (("routes", 0, "prefix"), "safe/"),
        (("routes", 0, "kind"), "other"),
        (("routes", 0, "timeout_ms"), 0),
        (("routes", 0, "timeout_ms"), 10**300),
        (("routes", 0, "split", 0, "weight"), 10**300),
        (("routes", 0, "split"), [{"service": "plain", "weight": 0}]),
        (("services",), [{"name": "plain"}, {"name": "plain", "max_conns": 5}]),
        (("services", 1, "scaling", "max"), 10**9),
        (("tenants",), [{"name": "org"}, {"name": "org", "rate_per_s": 5}]),
        (("tenants", 0, "api_keys"), "key-1"),
        (("tenants", 0, "name"), "two\r\nlines"),
        (("tenants", 0, "name"), "東京"),
    ):
        data = encode(_replaced(CONFIGURATION, path, value))
        found.append((f"{path}={value!r:.40}", data))
    return found
