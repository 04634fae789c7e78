"""Settings file of a node, in the format that the platform writes."""

import os
import tomllib

from rattanwick.internal.base.ini import SettingProblem, SettingsError
from rattanwick.internal.gateway.settings import (
    DEFAULT_MEMORY_BYTES,
    Bounds,
    GatewaySettings,
)

PATH_VARIABLE = "RATTANWICK_NODE_FILE"
MIN_APPLY_SECONDS = 0.5  # a shorter time would be spent on calls to the store
MAX_ADDRESS_LIFETIME_SECONDS = 5.0  # the longest lifetime that the platform allows


def node_file_path() -> str:
    """Return the path of the settings file, or "" if the platform has set none."""
    return os.environ.get(PATH_VARIABLE, "")


def load_node_file(path: str) -> GatewaySettings:
    """Return the settings of a file; raise SettingsError with all problems found."""
    try:
        with open(path, "rb") as file:
            raw = tomllib.load(file)
    except (OSError, tomllib.TOMLDecodeError) as exc:
        problem = SettingProblem(
            path, "", "", str(exc), "the path of a readable TOML file"
        )
        raise SettingsError([problem])
    return _Reader(path, raw).settings()


class _Reader:
    """Reader of the file's values, which collects all problems."""

    def __init__(self, path: str, raw: dict):
        self._path = path
        self._raw = raw
        self._problems: list[SettingProblem] = []

    def settings(self) -> GatewaySettings:
        ports = self._value("", "port_range", list, [7600, 7615])
        duties = self._value("cloud", "duties", list, [])
        cloud = self._address("cloud", "address", required=False)
        settings = GatewaySettings(
            node_id=self._value("", "node", str),
            data_centre=self._value("", "zone", str),
            ip=self._value("", "ip", str),
            callers=self._address("listen", "front"),
            readiness=self._address("listen", "ready"),
            entry=self._address("listen", "directory"),
            peer_port=ports[0],
            metrics_port=ports[0] + 1,
            store=self._address("provider", "address"),
            cloud=cloud,
            first_start=self._value("", "bootstrap", bool, False),
            reports_usage=cloud is not None and "usage_report" in duties,
            orders_endpoints=cloud is not None and "autoscale" in duties,
            bounds=self._bounds(),
            # The process may use ``cpu_share`` of each core.
            cores=self._number("cpu_share", 1.0, "limits")
            * self._number("cores", 1.0, "limits"),
            memory=self._memory(),
        )
        if self._problems:
            raise SettingsError(self._problems)
        return settings

    def _memory(self) -> int:
        megabytes = self._number("memory_mb", 0, "limits")
        return int(megabytes * 1_000_000) or DEFAULT_MEMORY_BYTES

    def _bounds(self) -> Bounds:
        return Bounds(
            grace=self._number("grace_s", 8),
            retry_share=self._number("retry_budget_ratio", 0.2),
            retry_window=self._number("budget_window_s", 10),
            retry_slack=self._number("budget_slack", 50),
            lease=self._number("lease_ms", 3000) / 1000,
            usage_window=self._number("usage_window_s", 5),
            usage_late=self._number("usage_late_s", 10),
            address_lifetime=self._number("ttl_max_s", MAX_ADDRESS_LIFETIME_SECONDS),
            apply=self._apply_seconds(),
            limit_slack=self._number("quota_slack", 0),
        )

    def _apply_seconds(self) -> float:
        """Return the shortest of the times in which changes must take effect."""
        bounds = (
            self._number("config_apply_ms", 2000),
            self._number("drain_ms", 2000),
            self._number("contact_ms", 3000),
        )
        return max(min(bounds) / 1000, MIN_APPLY_SECONDS)

    def _number(self, key: str, default: float, section: str = "bounds") -> float:
        value = self._raw.get(section, {}).get(key, default)
        if isinstance(value, bool) or not isinstance(value, (int, float)) or value < 0:
            self._add_problem(section, key, f"{value!r} is not a number", "0 or more")
            return default
        return float(value)

    def _value(self, section: str, key: str, kind: type, default=None):
        table = self._raw.get(section, {}) if section else self._raw
        value = table.get(key, default)
        if not isinstance(value, kind):
            message = "is missing" if value is None else f"{value!r} has the wrong type"
            self._add_problem(section, key, message, f"a value of type {kind.__name__}")
            return kind()
        return value

    def _address(self, section: str, key: str, required: bool = True):
        value = self._raw.get(section, {}).get(key)
        if value is None and not required:
            return None
        host, _, port = str(value).rpartition(":")
        if not host or not port.isdigit():
            self._add_problem(section, key, f"{value!r} is not an address", "IP:PORT")
            return ("", 0)
        return host, int(port)

    def _add_problem(self, section: str, key: str, message: str, expected: str) -> None:
        self._problems.append(
            SettingProblem(self._path, section, key, message, expected)
        )
