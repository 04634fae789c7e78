"""Instance list read from Cloud Map at intervals.

The services ``nodes`` and ``endpoints`` of the namespace list the instances.
Their attributes have the names of the fields of Node and Endpoint, except that
host and port are ``AWS_INSTANCE_IPV4`` and ``AWS_INSTANCE_PORT``.
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
TARGET = "Route53AutoNaming_v20170314."
CONTENT_TYPE = "application/x-amz-json-1.1"
MAX_RESULTS = 1000
SERVICE_TYPES: dict[str, type] = {"nodes": Node, "endpoints": Endpoint}
RENAMED = {"host": "AWS_INSTANCE_IPV4", "port": "AWS_INSTANCE_PORT"}

READS = counter("instance_list_reads", "Reads of the instance list", ("result",))
BAD_ENTRIES = counter("instance_list_bad_entries", "Entries that could not be read")
AGE = gauge("instance_list_age_seconds", "Time since the last successful read")


def parse_attribute(name: str, kind: type, text: str) -> object:
    """Return the value of an attribute; raise ValueError for a bad one."""
    if kind is bool:
        if text not in ("true", "false"):
            raise ValueError(f"{name} is {text!r}; write true or false")
        return text == "true"
    if isinstance(kind, EnumType) or kind in (int, float):
        try:
            return kind(text)
        except ValueError:
            raise ValueError(f"{name} is {text!r}, which is no {kind.__name__}")
    return text


def parse_instance(kind: type, instance_id: str, attributes: dict[str, str]):
    """Return the Node or Endpoint of an entry; raise ValueError for a bad one."""
    values: dict[str, object] = {"id": instance_id}
    for item in fields(kind):
        name = RENAMED.get(item.name, item.name)
        if item.name == "id":
            continue
        if name in attributes:
            values[item.name] = parse_attribute(name, item.type, attributes[name])
        elif item.default is MISSING:
            raise ValueError(f"{name} is missing")
    return kind(**values)


class CloudMapInstanceList(InstanceList):
    """Show nodes and endpoints as last read; a failed read keeps the last list."""

    def __init__(self, cfg: PlatformSettings, timers: TimerService, node_id: str):
        self._client = ServiceClient(
            SERVICE, cfg.instance_list_url, cfg, timers, node_id
        )
        self._namespace = cfg.namespace
        self._timers = timers
        self._callbacks: list[Callable[[], None]] = []
        self._shown: dict[str, tuple] = dict.fromkeys(SERVICE_TYPES, ())
        self._revisions: dict[str, int] = {}
        self._read_at: float | None = None  # monotonic seconds
        self._reading = False
        self._timers.after(0.0, self.refresh)
        self._subscription = timers.subscribe(
            "instances", cfg.instance_poll_seconds, self.refresh
        )

    def endpoints(self, pool: str | None = None) -> tuple[Endpoint, ...]:
        """Return the endpoints of a pool, or all."""
        shown = self._shown["endpoints"]
        if pool is None:
            return shown
        return tuple(endpoint for endpoint in shown if endpoint.pool == pool)

    def nodes(self) -> tuple[Node, ...]:
        """Return all listed nodes."""
        return self._shown["nodes"]

    def age(self) -> float:
        """Return seconds since the last successful read; infinite before it."""
        if self._read_at is None:
            return math.inf
        return self._timers.now() - self._read_at

    def subscribe(self, callback: Callable[[], None]) -> None:
        """Call back after each read that changed something."""
        self._callbacks.append(callback)

    def refresh(self) -> None:
        """Read the list now; keep the last one when that fails."""
        if self._reading:
            return
        self._reading = True
        try:
            changed = [self._read(service) for service in SERVICE_TYPES]
            self._read_at = self._timers.now()
            READS.labels("ok").inc()
        except StepError as exc:
            READS.labels("failed").inc()
            log.warning("the list of %.0f s ago stays in use: %s", self.age(), exc)
            return
        finally:
            self._reading = False
            AGE.set(self.age())
        if any(changed):
            for callback in self._callbacks:
                callback()

    def stop(self) -> None:
        """Stop reading."""
        self._subscription.cancel()
        self._client.close()

    def _read(self, service: str) -> bool:
        """Read one service and tell whether its instances changed."""
        request = {"NamespaceName": self._namespace, "ServiceName": service}
        # A whole list of 990 instances every 5 s would exceed the traffic that
        # a node may cause, so it is read only after its revision changed.
        if service in self._revisions:
            answer = self._call("DiscoverInstancesRevision", request)
            if answer.get("InstancesRevision") == self._revisions[service]:
                return False
        request |= {"MaxResults": MAX_RESULTS, "HealthStatus": "ALL"}
        answer = self._call("DiscoverInstances", request)
        before = self._shown[service]
        self._shown[service] = self._parse(service, answer.get("Instances", []))
        if "InstancesRevision" in answer:
            self._revisions[service] = answer["InstancesRevision"]
        return self._shown[service] != before

    def _parse(self, service: str, entries: list[dict]) -> tuple:
        parsed = []
        for entry in entries:
            instance_id = str(entry.get("InstanceId", ""))
            try:
                attributes = entry.get("Attributes", {})
                parsed.append(
                    parse_instance(SERVICE_TYPES[service], instance_id, attributes)
                )
            except (ValueError, TypeError) as exc:
                BAD_ENTRIES.inc()
                log.error("entry %s of %s left out: %s", instance_id, service, exc)
        return tuple(sorted(parsed, key=lambda item: item.id))

    def _call(self, step: str, request: dict) -> dict:
        body = json.dumps(request).encode()
        headers = {"X-Amz-Target": TARGET + step, "Content-Type": CONTENT_TYPE}

        def attempt(timeout: float) -> dict:
            answer = self._client.call(step, "POST", "/", headers, body, timeout)
            if answer.status != 200:
                reason = f"status {answer.status}"
                raise Unavailable(step, self._client.peer, reason)
            try:
                value = json.loads(answer.body)
            except ValueError:
                value = None
            if not isinstance(value, dict):
                raise Unavailable(step, self._client.peer, "not a JSON map")
            return value

        return self._client.retry(step, attempt, read=True)
