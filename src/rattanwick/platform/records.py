"""Decoding of the rows that operators and endpoints write to the store."""

import re
from collections import Counter
from collections.abc import Iterable
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
    check_object,
    check_text,
    count_of,
    field_of,
    flag_of,
    list_of,
    number_of,
    objects_of,
    parse_object,
    text_of,
)

CONFIGURATION_TABLE = "op"
CONFIGURATION_KEY = "config"
ENDPOINT_TABLE = "servers"
ENDPOINT_STATES = ("ready", "draining")
# Sent as values of headers.
ENDPOINT_ID = re.compile(r"[!-~]{1,200}")
ORGANISATION_NAME = re.compile(r"[!-~\xa0-\xff]([ -~\xa0-\xff]*[!-~\xa0-\xff])?")
ADDRESS = re.compile(r"(?P<ip>[0-9.]{7,15}):(?P<port>[0-9]{1,5})")
PORTS = range(1, 65_536)
MAX_LOGGED_ADDRESS = 40  # characters
MAX_SLOTS = 100_000
MAX_ENDPOINTS = 10_000  # of one service in a data centre
MAX_CONNECTIONS = 1_000_000
MAX_ATTEMPTS = 1_000
MAX_PRIORITY = 1_000_000
MAX_DURATION_MS = 10**9  # eleven days; time-outs of sockets are limited
MAX_AMOUNT = 10**12  # of tokens, bytes, weights and prices; sums of them stay exact
MAX_PREFIX_BYTES = 4096
MAX_KEY_BYTES = 4096  # of a caller's key
MAX_BORN_MS = MAX_EXACT_INTEGER - 1  # peers send it to each other


def decode_configuration(value: bytes) -> Configuration:
    """Return a configuration; raise ValueError if it is malformed.

    Whatever is returned can be used in sums, as time-outs and in messages of peers.
    """
    try:
        raw = parse_object(value)
        services = [_decode_service(item) for item in objects_of(raw, "services")]
        organisations = tuple(
            _decode_organisation(item) for item in objects_of(raw, "tenants", [])
        )
        _check_names("services", services)
        _check_names("tenants", organisations)
        return Configuration(
            version=count_of(raw, "version", 0, MAX_EXACT_INTEGER - 1),
            routes=tuple(_decode_route(item) for item in objects_of(raw, "routes")),
            services={service.name: service for service in services},
            organisations=organisations,
            limits=_decode_limits(check_object(field_of(raw, "limits"), "limits")),
        )
    except ValueError as exc:
        raise ValueError(f"configuration: {exc}")


def _check_names(field: str, items: Iterable[Service | Organisation]) -> None:
    """Raise ValueError if a name is used twice."""
    for name, count in Counter(item.name for item in items).items():
        if count > 1:
            raise ValueError(f"{field}: {name!r} is there twice")


def _decode_route(raw: dict) -> Route:
    split = objects_of(raw, "split", [])
    if split:
        targets = tuple(
            RouteTarget(
                text_of(item, "service"), number_of(item, "weight", 0, MAX_AMOUNT)
            )
            for item in split
        )
        if not any(target.weight for target in targets):
            raise ValueError("split: no service has a weight")
    else:
        targets = (RouteTarget(text_of(raw, "service"), 1.0),)
    return Route(
        name=text_of(raw, "name"),
        host=text_of(raw, "host").lower(),
        prefix=_decode_prefix(text_of(raw, "prefix", MAX_PREFIX_BYTES)),
        kind=CallKind(text_of(raw, "kind")),
        timeout=number_of(raw, "timeout_ms", 1, MAX_DURATION_MS) / 1000,
        objective=number_of(raw, "slo_ms", 0, MAX_DURATION_MS) / 1000,
        priority=count_of(raw, "priority", 0, MAX_PRIORITY, 0),
        targets=targets,
        max_attempts=count_of(raw, "max_attempts", 0, MAX_ATTEMPTS, 1),
        public=flag_of(raw, "public"),
        resumable=flag_of(raw, "resumable"),
    )


def _decode_prefix(prefix: str) -> str:
    if not prefix.startswith("/"):
        raise ValueError("prefix: does not begin with a slash")
    return prefix


def _decode_service(raw: dict) -> Service:
    engine = check_object(field_of(raw, "engine", {}), "engine")
    scaling = check_object(field_of(raw, "scaling", {}), "scaling")
    return Service(
        name=text_of(raw, "name"),
        max_connections=count_of(raw, "max_conns", 0, MAX_CONNECTIONS, 0),
        engine=_decode_engine(engine) if engine else None,
        scaling=_decode_scaling(scaling) if scaling else None,
    )


def _decode_engine(raw: dict) -> EngineSpec:
    return EngineSpec(
        slots=count_of(raw, "slots", 0, MAX_SLOTS),
        kv_tokens=count_of(raw, "kv_capacity", 0, MAX_AMOUNT),
    )


def _decode_scaling(raw: dict) -> ScalingSpec:
    prices = check_object(field_of(raw, "zone_prices", {}), "zone_prices")
    return ScalingSpec(
        min_endpoints=count_of(raw, "min", 0, MAX_ENDPOINTS),
        max_endpoints=count_of(raw, "max", 0, MAX_ENDPOINTS),
        # A price of 0 means that there are none.
        reclaimable_price=number_of(raw, "spot_price", 0, MAX_AMOUNT, 0) or None,
        data_centre_prices={
            check_text(zone, "zone_prices"): number_of(prices, zone, 0, MAX_AMOUNT)
            for zone in prices
        },
    )


def _decode_organisation(raw: dict) -> Organisation:
    priority = field_of(raw, "priority", None)
    unit = check_text(field_of(raw, "unit", "requests"), "unit")
    name, keys = text_of(raw, "name"), list_of(raw, "api_keys", [])
    if not ORGANISATION_NAME.fullmatch(name):
        raise ValueError("name: cannot be sent in a header")
    return Organisation(
        name=name,
        keys=frozenset(check_text(key, "api_keys", MAX_KEY_BYTES) for key in keys),
        priority=None
        if priority is None
        else count_of(raw, "priority", 0, MAX_PRIORITY),
        rate=float(number_of(raw, "rate_per_s", 0, MAX_AMOUNT, 0)),
        burst=float(number_of(raw, "burst", 0, MAX_AMOUNT, 0)),
        counts_tokens=unit == "tokens",
        default_tokens=count_of(raw, "plain_tokens", 0, MAX_AMOUNT, 1) or 1,
    )


def _decode_limits(raw: dict) -> CallerLimits:
    return CallerLimits(
        header_bytes=count_of(raw, "max_header_bytes", 1, MAX_AMOUNT),
        body_bytes=count_of(raw, "max_body_bytes", 0, MAX_AMOUNT),
        header_seconds=number_of(raw, "header_timeout_ms", 1, MAX_DURATION_MS) / 1000,
        idle_seconds=number_of(raw, "idle_timeout_ms", 1, MAX_DURATION_MS) / 1000,
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
