"""Instance list, polled from Cloud Map.

The Cloud Map services ``nodes`` and ``endpoints`` of the namespace contain the
instances. Attributes of an instance have the names of the fields of Node and Endpoint,
except for host and port, which are ``AWS_INSTANCE_IPV4`` and ``AWS_INSTANCE_PORT``.
"""

import json
import math
from collections.abc import Callable
from dataclasses import MISSING, fields
from enum import EnumType

from rattanwick.internal.base.errors import StepError, Unavailable
from rattanwick.internal.base.log import get_logger
from rattanwick.internal.base.metrics import counter, gauge
from rattanwick.internal.base.settings import PlatformSettings
from rattanwick.internal.base.timers import TimerService
from rattanwick.internal.model.instances import Endpoint, Node
from rattanwick.internal.platform.interfaces import InstanceList
from rattanwick.internal.platform.signed_client import ServiceClient

log = get_logger("instances")

SERVICE = "servicediscovery"
TARGET_PREFIX = "Route53AutoNaming_v20170314."
CONTENT_TYPE = "application/x-amz-json-1.1"
MAX_RESULTS = 1000
SERVICE_TYPES: dict[str, type] = {"nodes": Node, "endpoints": Endpoint}
ATTRIBUTE_NAMES = {"host": "AWS_INSTANCE_IPV4", "port": "AWS_INSTANCE_PORT"}

LIST_READS = counter("instance_list_reads", "Reads of the instance list", ("result",))
INVALID_ENTRIES = counter(
    "instance_list_bad_entries", "Entries that could not be parsed"
)
LIST_AGE = gauge("instance_list_age_seconds", "Time since the last successful read")


def parse_attribute(name: str, value_type: type, text: str) -> object:
    """Return the value of an attribute; raise ValueError if it is invalid."""
    if value_type is bool:
        if text not in ("true", "false"):
            raise ValueError(f"{name} is {text!r}, expected true or false")
        return text == "true"
    if isinstance(value_type, EnumType) or value_type in (int, float):
        try:
            return value_type(text)
        except ValueError:
            raise ValueError(f"{name} is {text!r}, expected {value_type.__name__}")
    return text


def parse_instance(entry_type: type, instance_id: str, attributes: dict[str, str]):
    """Return the Node or Endpoint of an entry; raise ValueError if it is invalid."""
    values: dict[str, object] = {"id": instance_id}
    for item in fields(entry_type):
        name = ATTRIBUTE_NAMES.get(item.name, item.name)
        if item.name == "id":
            continue
        if name in attributes:
            values[item.name] = parse_attribute(name, item.type, attributes[name])
        elif item.default is MISSING:
            raise ValueError(f"{name} is missing")
    return entry_type(**values)


class CloudMapInstanceList(InstanceList):
    """Nodes and endpoints as last read; a failed read leaves them unchanged."""

    def __init__(self, cfg: PlatformSettings, timers: TimerService, node_id: str):
        self._client = ServiceClient(
            SERVICE, cfg.instance_list_url, cfg, timers, node_id
        )
        self._namespace = cfg.namespace
        self._timers = timers
        self._callbacks: list[Callable[[], None]] = []
        self._listed: dict[str, tuple] = dict.fromkeys(SERVICE_TYPES, ())
        self._revisions: dict[str, int] = {}
        self._read_at: float | None = None  # monotonic seconds
        self._reading = False
        self._timers.after(0.0, self.refresh)
        self._subscription = timers.subscribe(
            "instances", cfg.instance_poll_seconds, self.refresh
        )

    def endpoints(self, pool: str | None = None) -> tuple[Endpoint, ...]:
        """Return the endpoints of a pool, or all endpoints."""
        listed = self._listed["endpoints"]
        if pool is None:
            return listed
        return tuple(endpoint for endpoint in listed if endpoint.pool == pool)

    def nodes(self) -> tuple[Node, ...]:
        """Return all listed nodes, this one included."""
        return self._listed["nodes"]

    def age(self) -> float:
        """Return the seconds since the last successful read, or infinity if none."""
        if self._read_at is None:
            return math.inf
        return self._timers.now() - self._read_at

    def subscribe(self, callback: Callable[[], None]) -> None:
        """Call ``callback`` after each read that changed the list."""
        self._callbacks.append(callback)

    def refresh(self) -> None:
        """Read the list now; keep the earlier one if that fails."""
        if self._reading:
            return
        self._reading = True
        try:
            changed = [self._read_service(service) for service in SERVICE_TYPES]
            self._read_at = self._timers.now()
            LIST_READS.labels("ok").inc()
        except StepError as exc:
            LIST_READS.labels("failed").inc()
            log.warning(
                "cannot read the instance list; keeping the one read %.0f s ago: %s",
                self.age(),
                exc,
            )
            return
        finally:
            self._reading = False
            LIST_AGE.set(self.age())
        if any(changed):
            for callback in self._callbacks:
                callback()

    def stop(self) -> None:
        """Stop polling and close connections."""
        self._subscription.cancel()
        self._client.close()

    def _read_service(self, service: str) -> bool:
        """Read the instances of one service; return whether they changed."""
        request = {"NamespaceName": self._namespace, "ServiceName": service}
        # The list is read only if its revision has changed. Reading a list of 990
        # instances every 5 s would exceed the traffic that a node may cause.
        if service in self._revisions:
            response = self._call("DiscoverInstancesRevision", request)
            if response.get("InstancesRevision") == self._revisions[service]:
                return False
        request |= {"MaxResults": MAX_RESULTS, "HealthStatus": "ALL"}
        response = self._call("DiscoverInstances", request)
        before = self._listed[service]
        self._listed[service] = self._parse_entries(
            service, response.get("Instances", [])
        )
        if "InstancesRevision" in response:
            self._revisions[service] = response["InstancesRevision"]
        return self._listed[service] != before

    def _parse_entries(self, service: str, entries: list[dict]) -> tuple:
        parsed = []
        for entry in entries:
            instance_id = str(entry.get("InstanceId", ""))
            try:
                attributes = entry.get("Attributes", {})
                parsed.append(
                    parse_instance(SERVICE_TYPES[service], instance_id, attributes)
                )
            except (ValueError, TypeError) as exc:
                INVALID_ENTRIES.inc()
                log.error(
                    "skipped invalid entry %s of service %s: %s",
                    instance_id,
                    service,
                    exc,
                )
        return tuple(sorted(parsed, key=lambda item: item.id))

    def _call(self, step: str, request: dict) -> dict:
        body = json.dumps(request).encode()
        headers = {"X-Amz-Target": TARGET_PREFIX + step, "Content-Type": CONTENT_TYPE}

        def attempt(timeout: float) -> dict:
            response = self._client.call(step, "POST", "/", headers, body, timeout)
            if response.status != 200:
                reason = f"status {response.status}"
                raise Unavailable(step, self._client.peer, reason)
            try:
                value = json.loads(response.body)
            except ValueError:
                value = None
            if not isinstance(value, dict):
                raise Unavailable(step, self._client.peer, "not a JSON map")
            return value

        return self._client.retry(step, attempt, read=True)
