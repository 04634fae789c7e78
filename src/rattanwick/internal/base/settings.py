"""Settings of a node: one class for each section of its INI file.

The tables of the operators' page are generated from the doc comments of these classes
and the help texts of their settings.
"""

from dataclasses import dataclass, fields

from rattanwick.internal.base.ini import (
    SettingProblem,
    SettingsError,
    closest_name_hint,
    parse_ini,
    read_section,
)
from rattanwick.internal.base.setting_types import (
    choice,
    identifier,
    ip_address,
    number,
    port,
    readable_file,
    setting,
    sha256_list,
    url,
    whole_number,
    yes_no,
)


@dataclass(slots=True, kw_only=True)
class NodeSettings:
    """[node]: identity of the node."""

    id: str = setting(identifier, "name of the node, unique in the deployment")
    data_centre: str = setting(identifier, "data centre that the instance is in")
    region: str = setting(identifier, "region that the data centre is in")
    instance_id: str = setting(identifier, "the cloud's name of the instance", "")


@dataclass(slots=True, kw_only=True)
class CallerSettings:
    """[callers]: the interface for callers."""

    address: str = setting(ip_address, "IP address to listen on")
    port: int = setting(port, "TCP port to listen on")
    tls_certificate: str = setting(readable_file, "PEM file; empty for no TLS", "")
    tls_key: str = setting(readable_file, "PEM file of the key", "")
    max_body_bytes: int = setting(
        whole_number(1024, 64 << 20), "largest request body", 1 << 20, "bytes"
    )
    max_in_flight: int = setting(
        whole_number(1, 100_000),
        "largest number of requests in flight at this node",
        2000,
    )
    entry_keep_seconds: int = setting(
        whole_number(1, 3600), "how long a caller keeps an address", 30, "seconds"
    )


@dataclass(slots=True, kw_only=True)
class OperatorSettings:
    """[operators]: the interface for operators, metrics and health."""

    address: str = setting(ip_address, "IP address to listen on")
    port: int = setting(port, "TCP port to listen on")
    key_hashes: tuple[str, ...] = setting(
        sha256_list, "SHA-256 digests of operator keys, separated by blanks", ()
    )


@dataclass(slots=True, kw_only=True)
class PeerSettings:
    """[peers]: connections between nodes."""

    address: str = setting(ip_address, "IP address to listen on")
    port: int = setting(port, "TCP port to listen on")
    secret_file: str = setting(readable_file, "file with the secret of the nodes")
    tls_certificate: str = setting(readable_file, "PEM file; empty for no TLS", "")
    tls_key: str = setting(readable_file, "PEM file of the key", "")
    tls_authority: str = setting(
        readable_file, "PEM file of the certificate authority", ""
    )
    heartbeat_seconds: float = setting(
        number(0.05, 60), "time between heartbeats", 1.0, "seconds"
    )
    suspect_seconds: float = setting(
        number(0.1, 120), "silence after which a peer is suspected", 3.0, "seconds"
    )
    dead_seconds: float = setting(
        number(0.2, 300), "silence after which a peer is dead", 5.0, "seconds"
    )
    max_links: int = setting(whole_number(1, 64), "heartbeat links of a node", 8)


@dataclass(slots=True, kw_only=True)
class PlatformSettings:
    """[platform]: the services of the platform."""

    table_url: str = setting(url, "URL of the table service")
    table_name: str = setting(identifier, "name of the table", "rattanwick")
    object_url: str = setting(url, "URL of the object store")
    bucket: str = setting(identifier, "name of the bucket", "rattanwick")
    instance_list_url: str = setting(url, "URL of the instance list")
    namespace: str = setting(identifier, "namespace in the instance list", "rattanwick")
    cloud_url: str = setting(url, "URL of the cloud API")
    metadata_url: str = setting(url, "URL of the instance metadata", "")
    credentials_file: str = setting(
        readable_file, "INI file with [credentials] access_key and secret_key"
    )
    region: str = setting(identifier, "region named in signatures")
    timeout_seconds: float = setting(
        number(0.05, 60), "time limit of one call", 2.0, "seconds"
    )
    instance_poll_seconds: float = setting(
        number(0.1, 300), "time between reads of the instance list", 5.0, "seconds"
    )


@dataclass(slots=True, kw_only=True)
class ListSettings:
    """[lists]: plans and allowances."""

    poll_seconds: float = setting(
        number(0.1, 300), "time between reads of the version", 5.0, "seconds"
    )
    confirm_seconds: float = setting(
        number(0.5, 300), "time for all nodes to confirm a version", 16.0, "seconds"
    )


@dataclass(slots=True, kw_only=True)
class RoutingSettings:
    """[routing]: placement of requests."""

    policy: str = setting(
        choice("owner", "alone", "least-in-flight", "round-robin"),
        "placement policy",
        "owner",
    )
    cell_endpoints: int = setting(
        whole_number(1, 64), "number of endpoints in a cell", 12
    )
    weight_cost: float = setting(number(0, 10), "weight of cost", 1.0)
    weight_short: float = setting(
        number(0, 10), "weight of the wait of short work", 1.0
    )
    weight_tail: float = setting(number(0, 10), "weight of tail latency", 1.0)
    short_seconds: float = setting(
        number(0.01, 600), "estimated work that still counts as short", 2.0, "seconds"
    )
    long_wait_seconds: float = setting(
        number(0.1, 3600),
        "longest time that long work waits behind short work",
        30.0,
        "seconds",
    )
    probation_share: float = setting(
        number(0, 0.5), "largest part of a pool that may be ejected as slow", 0.34
    )
    retry_share: float = setting(number(0, 1), "retries per request", 0.1)
    hedge_share: float = setting(number(0, 1), "hedges per request", 0.05)
    default_deadline_seconds: float = setting(
        number(0.1, 86_400), "deadline of a request that states none", 120.0, "seconds"
    )


@dataclass(slots=True, kw_only=True)
class AllowanceSettings:
    """[allowances]: grants taken from the table."""

    grant_seconds: float = setting(
        number(2, 86_400), "lifetime of a grant that is not renewed", 1800.0, "seconds"
    )
    skew_seconds: float = setting(
        number(0, 60), "largest difference between clocks", 2.0, "seconds"
    )


@dataclass(slots=True, kw_only=True)
class ClaimSettings:
    """[claims]: idempotency keys."""

    retention_days: float = setting(
        number(0.01, 365), "how long a key is remembered", 7.0, "days"
    )
    unknown_after_seconds: float = setting(
        number(0.1, 86_400),
        "time after the deadline at which an open claim is unknown",
        60.0,
        "seconds",
    )


@dataclass(slots=True, kw_only=True)
class DrainSettings:
    """[drain]: graceful shutdown."""

    limit_seconds: float = setting(
        number(0, 86_400), "longest wait for requests; 0 for no limit", 0.0, "seconds"
    )
    notice_seconds: float = setting(
        number(0.5, 3600),
        "time to hand requests over after limit_seconds",
        20.0,
        "seconds",
    )


@dataclass(slots=True, kw_only=True)
class RecordingSettings:
    """[recording]: decisions kept for replay."""

    enabled: bool = setting(yes_no, "record decisions", True)
    batch_seconds: float = setting(
        number(0.1, 600), "time between batches", 5.0, "seconds"
    )
    buffer_bytes: int = setting(
        whole_number(65_536, 1 << 30),
        "memory for batches that are not stored yet",
        4 << 20,
        "bytes",
    )


@dataclass(slots=True, kw_only=True)
class TracingSettings:
    """[tracing]: spans sent over OTLP."""

    otlp_url: str = setting(
        url, "URL that receives OTLP over HTTP; empty for no traces", ""
    )
    sample_ratio: float = setting(number(0, 1), "fraction of traces that are sent", 1.0)


@dataclass(slots=True, kw_only=True)
class LoggingSettings:
    """[logging]: JSON logs on standard error."""

    level: str = setting(
        choice("DEBUG", "INFO", "WARNING", "ERROR"), "lowest level written", "INFO"
    )


@dataclass(slots=True, kw_only=True)
class Settings:
    """All settings of a node."""

    node: NodeSettings
    callers: CallerSettings
    operators: OperatorSettings
    peers: PeerSettings
    platform: PlatformSettings
    lists: ListSettings
    routing: RoutingSettings
    allowances: AllowanceSettings
    claims: ClaimSettings
    drain: DrainSettings
    recording: RecordingSettings
    tracing: TracingSettings
    logging: LoggingSettings


def load_settings(path: str) -> Settings:
    """Return the settings in a file; raise SettingsError with all problems."""
    try:
        with open(path, encoding="utf-8") as file:
            content = file.read()
    except (OSError, UnicodeDecodeError) as exc:
        expected = "the path of a readable INI file in UTF-8"
        raise SettingsError([SettingProblem(path, "", "", str(exc), expected)])
    return parse_settings(path, content)


def parse_settings(name: str, content: str) -> Settings:
    """Return the settings in INI text; raise SettingsError with all problems.

    ``name`` is the name of the file in messages.
    """
    parser = parse_ini(name, content)
    sections = {field.name: field.type for field in fields(Settings)}
    problems: list[SettingProblem] = []
    for section in parser.sections():
        if section not in sections:
            hint = closest_name_hint(section, sorted(sections))
            problems.append(SettingProblem(name, section, "", "unknown section", hint))
    parsed = {}
    for section, section_type in sections.items():
        values = dict(parser[section]) if parser.has_section(section) else {}
        parsed[section] = read_section(name, section, values, section_type, problems)
    if not problems:
        problems.extend(_check_combinations(name, parsed))
    if problems:
        raise SettingsError(problems)
    return Settings(**parsed)


def _check_combinations(name: str, parsed: dict) -> list[SettingProblem]:
    """Return the problems of values that contradict each other."""
    problems = []
    for section in ("callers", "peers"):
        value = parsed[section]
        if bool(value.tls_certificate) != bool(value.tls_key):
            message = "only one of tls_certificate and tls_key is set"
            problems.append(
                SettingProblem(name, section, "tls_key", message, "both or neither")
            )
    peers = parsed["peers"]
    if not peers.heartbeat_seconds < peers.suspect_seconds < peers.dead_seconds:
        message = "heartbeat, suspect and dead times must increase in this order"
        expected = "heartbeat_seconds < suspect_seconds < dead_seconds"
        problems.append(
            SettingProblem(name, "peers", "suspect_seconds", message, expected)
        )
    return problems
