"""Decoding of the rows that operators and endpoints write to the store."""

import json
import re
from ipaddress import AddressValueError, IPv4Address

from rattanwick.internal.gateway.model import (
    CallerLimits,
    CallKind,
    Configuration,
    Endpoint,
    EngineSpec,
    Organisation,
    Route,
    RouteTarget,
    ScalingSpec,
    Service,
)
from rattanwick.internal.gateway.shapes import MAX_EXACT_INTEGER
from rattanwick.platform.fields import (
    check_integer,
    field_of,
    flag_of,
    parse_object,
    text_of,
)

CONFIGURATION_TABLE = "op"
CONFIGURATION_KEY = "config"
ENDPOINT_TABLE = "servers"
ENDPOINT_STATES = ("ready", "draining")
ENDPOINT_ID = re.compile(r"[!-~]{1,200}")  # sent as the value of a header
ADDRESS = re.compile(r"(?P<ip>[0-9.]{7,15}):(?P<port>[0-9]{1,5})")
PORTS = range(1, 65_536)
MAX_LOGGED_ADDRESS = 40  # characters
MAX_SLOTS = 100_000
MAX_BORN_MS = MAX_EXACT_INTEGER - 1  # peers send it to each other


def decode_configuration(value: bytes) -> Configuration:
    """Return a configuration; raise ValueError if it is malformed."""
    try:
        raw = json.loads(value)
        return Configuration(
            version=int(raw["version"]),
            routes=tuple(_decode_route(item) for item in raw["routes"]),
            services={item["name"]: _decode_service(item) for item in raw["services"]},
            organisations=tuple(
                _decode_organisation(item) for item in raw.get("tenants", ())
            ),
            limits=_decode_limits(raw["limits"]),
        )
    except (
        KeyError,
        TypeError,
        AttributeError,
        OverflowError,
        RecursionError,
    ) as exc:
        raise ValueError(f"configuration: {type(exc).__name__} {exc}")


def _decode_route(raw: dict) -> Route:
    if raw.get("split"):
        targets = tuple(
            RouteTarget(item["service"], float(item["weight"])) for item in raw["split"]
        )
    else:
        targets = (RouteTarget(raw["service"], 1.0),)
    return Route(
        name=raw["name"],
        host=raw["host"].lower(),
        prefix=raw["prefix"],
        kind=CallKind(raw["kind"]),
        timeout=raw["timeout_ms"] / 1000,
        objective=raw["slo_ms"] / 1000,
        priority=int(raw.get("priority", 0)),
        targets=targets,
        max_attempts=int(raw.get("max_attempts", 1)),
        public=bool(raw.get("public", False)),
        resumable=bool(raw.get("resumable", False)),
    )


def _decode_service(raw: dict) -> Service:
    engine, scaling = raw.get("engine"), raw.get("scaling")
    return Service(
        name=raw["name"],
        max_connections=int(raw.get("max_conns") or 0),
        engine=_decode_engine(engine) if engine else None,
        scaling=_decode_scaling(scaling) if scaling else None,
    )


def _decode_engine(raw: dict) -> EngineSpec:
    return EngineSpec(
        slots=int(raw["slots"]),
        kv_tokens=int(raw["kv_capacity"]),
    )


def _decode_scaling(raw: dict) -> ScalingSpec:
    price = raw.get("spot_price")
    return ScalingSpec(
        min_endpoints=int(raw["min"]),
        max_endpoints=int(raw["max"]),
        reclaimable_price=float(price) if price else None,
        data_centre_prices={k: float(v) for k, v in raw.get("zone_prices", {}).items()},
    )


def _decode_organisation(raw: dict) -> Organisation:
    priority = raw.get("priority")
    return Organisation(
        name=raw["name"],
        keys=frozenset(raw.get("api_keys", ())),
        priority=None if priority is None else int(priority),
        rate=float(raw.get("rate_per_s") or 0),
        burst=float(raw.get("burst") or 0),
        counts_tokens=raw.get("unit") == "tokens",
        default_tokens=int(raw.get("plain_tokens") or 1),
    )


def _decode_limits(raw: dict) -> CallerLimits:
    return CallerLimits(
        header_bytes=int(raw["max_header_bytes"]),
        body_bytes=int(raw["max_body_bytes"]),
        header_seconds=raw["header_timeout_ms"] / 1000,
        idle_seconds=raw["idle_timeout_ms"] / 1000,
    )


def decode_endpoint(key: str, value: bytes) -> Endpoint:
    """Return an endpoint; raise ValueError if the entry is malformed.

    Whatever is returned can be connected to, sent in a header and used in sums.
    """
    try:
        if not ENDPOINT_ID.fullmatch(key):
            raise ValueError("key: cannot be sent in a header")
        raw = parse_object(value)
        state = field_of(raw, "state")
        if type(state) is not str or state not in ENDPOINT_STATES:
            raise ValueError("state: is unknown")
        return Endpoint(
            id=key,
            service=text_of(raw, "service"),
            address=_decode_address(text_of(raw, "address")),
            data_centre=text_of(raw, "zone"),
            slots=check_integer(field_of(raw, "slots"), "slots", 1, MAX_SLOTS),
            leaving=state == "draining",
            reclaimable=flag_of(raw, "spot"),
            born_ms=check_integer(raw.get("born", 0), "born", 0, MAX_BORN_MS),
        )
    except ValueError as exc:
        raise ValueError(f"endpoint entry: {exc}")


def _decode_address(text: str) -> str:
    """Return an address as IP:PORT; a name would have to be resolved first."""
    match = ADDRESS.fullmatch(text)
    if match is None or int(match["port"]) not in PORTS:
        raise ValueError(f"address: {text[:MAX_LOGGED_ADDRESS]!r} is not IP:PORT")
    try:
        return f"{IPv4Address(match['ip'])}:{int(match['port'])}"
    except AddressValueError as exc:
        raise ValueError(f"address: {exc}")
