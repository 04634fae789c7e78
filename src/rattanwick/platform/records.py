"""Decoding of the rows that operators and endpoints write to the store."""

import json

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

CONFIGURATION_TABLE = "op"
CONFIGURATION_KEY = "config"
ENDPOINT_TABLE = "servers"
ENDPOINT_STATES = ("ready", "draining")


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
    """Return an endpoint; raise ValueError if the entry is malformed."""
    try:
        raw = json.loads(value)
        state = raw["state"]
        host, _, port = raw["address"].rpartition(":")
        service, zone, slots = raw["service"], raw["zone"], raw["slots"]
    except (KeyError, TypeError, AttributeError, RecursionError) as exc:
        raise ValueError(f"endpoint entry: {type(exc).__name__} {exc}")
    if state not in ENDPOINT_STATES:
        raise ValueError(f"endpoint entry: unknown state {state!r}")
    if not all(isinstance(item, str) and item for item in (service, zone, host)):
        raise ValueError(
            "endpoint entry: service, zone and host must be non-empty strings"
        )
    if type(slots) is not int or slots < 1 or not port.isdigit():
        raise ValueError(
            "endpoint entry: slots must be a positive integer and port a number"
        )
    born = raw.get("born", 0)
    if type(born) is not int:
        raise ValueError("endpoint entry: born is not an integer")
    return Endpoint(
        id=key,
        service=service,
        address=f"{host}:{int(port)}",
        data_centre=zone,
        slots=slots,
        leaving=state == "draining",
        reclaimable=raw.get("spot") is True,
        born_ms=born,
    )
