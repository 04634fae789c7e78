"""Client of the cloud API in the EC2 query format, and of instance metadata."""

import json
from datetime import datetime
from urllib.parse import urlencode
from xml.etree import ElementTree

from rattanwick.internal.base.errors import (
    ConnectionLost,
    MaybeApplied,
    ProtocolError,
    Refused,
    TimedOut,
    Unavailable,
)
from rattanwick.internal.base.settings import PlatformSettings
from rattanwick.internal.base.timers import TimerService
from rattanwick.internal.platform.http import HttpPool, HttpResponse
from rattanwick.internal.platform.interfaces import (
    CloudApi,
    InstanceSpec,
    Notice,
    NoticeKind,
)
from rattanwick.internal.platform.object_store import find_text, local_name
from rattanwick.internal.platform.signed_client import (
    Rejected,
    ServiceClient,
    shorten_token,
)

SERVICE = "ec2"
API_VERSION = "2016-11-15"
CONTENT_TYPE = "application/x-www-form-urlencoded"
ROLE_TAG = "rattanwick-role"
# Operators provide a launch template (image, network, start script) for each role.
TEMPLATE_PREFIX = "rattanwick-"
MAX_TOKEN_LENGTH = 64  # characters of a client token
EVENT_KINDS = {
    "instance-retirement": NoticeKind.RECLAIM,
    "instance-stop": NoticeKind.STOP,
}
# The description of a finished or cancelled event starts with one of these.
CLOSED_EVENT_PREFIXES = ("[Completed]", "[Canceled]")
NO_CAPACITY_CODES = frozenset(
    {
        "InsufficientInstanceCapacity",
        "InstanceLimitExceeded",
        "MaxSpotInstanceCountExceeded",
        "SpotMaxPriceTooLow",
        "VcpuLimitExceeded",
    }
)
NOT_APPLIED_CODES = frozenset(
    {"RequestLimitExceeded", "ServiceUnavailable", "Unavailable"}
)
NOT_FOUND_CODE = "InvalidInstanceID.NotFound"

METADATA_PEER = "instance metadata"
METADATA_TOKEN_SECONDS = 21_600
TOKEN_HEADER = "X-aws-ec2-metadata-token"
ACTION_PATH = "/latest/meta-data/spot/instance-action"


def parse_time(text: str) -> float:
    """Return Unix seconds for an ISO 8601 time; raise ValueError if it is invalid."""
    return datetime.fromisoformat(text).timestamp()


def parse_notices(body: bytes) -> list[Notice]:
    """Return the open notices in the body of a DescribeInstanceStatus response."""
    notices = []
    for status in items_of_set(ElementTree.fromstring(body), "instanceStatusSet"):
        instance_id = find_text(status, "instanceId")
        for event in items_of_set(status, "eventsSet"):
            kind = EVENT_KINDS.get(find_text(event, "code"))
            closed = find_text(event, "description").startswith(CLOSED_EVENT_PREFIXES)
            if kind is not None and not closed:
                not_before = parse_time(find_text(event, "notBefore"))
                notices.append(Notice(instance_id, kind, not_before))
    return notices


def items_of_set(root: ElementTree.Element, name: str) -> list[ElementTree.Element]:
    """Return the items of those child elements that have this name."""
    return [item for part in root if local_name(part.tag) == name for item in part]


class Ec2CloudApi(CloudApi):
    """Client that starts and terminates instances and reads reclaim notices."""

    def __init__(self, cfg: PlatformSettings, timers: TimerService, node_id: str):
        self._client = ServiceClient(SERVICE, cfg.cloud_url, cfg, timers, node_id)
        self._metadata = MetadataClient(cfg, timers) if cfg.metadata_url else None

    def start(self, spec: InstanceSpec, token: str) -> str:
        """Start an instance and return its id.

        A repeat with the same token starts no second instance. Raises Refused if there
        is no capacity, Unavailable if no instance was started, and MaybeApplied if it
        is unknown whether one was started.
        """
        parameters = {
            "InstanceType": spec.instance_class,
            "MinCount": "1",
            "MaxCount": "1",
            "ClientToken": shorten_token(token, MAX_TOKEN_LENGTH),
            "LaunchTemplate.LaunchTemplateName": TEMPLATE_PREFIX + spec.role,
            "Placement.AvailabilityZone": spec.data_centre,
            "TagSpecification.1.ResourceType": "instance",
            "TagSpecification.1.Tag.1.Key": ROLE_TAG,
            "TagSpecification.1.Tag.1.Value": spec.role,
        }
        if spec.reclaimable:
            parameters["InstanceMarketOptions.MarketType"] = "spot"
        response = self._call("RunInstances", parameters)
        instance_id = find_text(ElementTree.fromstring(response.body), "instanceId")
        if not instance_id:
            raise MaybeApplied("RunInstances", self._client.peer, "no instanceId")
        return instance_id

    def terminate(self, instance_id: str) -> None:
        """Terminate an instance; do nothing if it no longer exists."""
        self._call("TerminateInstances", {"InstanceId.1": instance_id})

    def notices(self) -> list[Notice]:
        """Return all open notices; raise Unavailable if they cannot be read."""
        step = "DescribeInstanceStatus"
        parameters = {"Filter.1.Name": "event.code"}
        for number, code in enumerate(EVENT_KINDS, 1):
            parameters[f"Filter.1.Value.{number}"] = code
        notices: list[Notice] = []
        while True:
            response = self._call(step, parameters, read=True)
            try:
                notices.extend(parse_notices(response.body))
                token = find_text(ElementTree.fromstring(response.body), "nextToken")
            except (ElementTree.ParseError, ValueError) as exc:
                raise Unavailable(step, self._client.peer, str(exc))
            if not token:
                return notices
            parameters["NextToken"] = token

    def own_notice(self) -> Notice | None:
        """Return the notice for this instance, or None if there is none.

        Its ``instance_id`` is empty, as the metadata does not contain the id. Raises
        Unavailable if the metadata cannot be read.
        """
        return self._metadata.notice() if self._metadata else None

    def close(self) -> None:
        """Close idle connections."""
        self._client.close()

    def _call(
        self, action: str, parameters: dict[str, str], read: bool = False
    ) -> HttpResponse:
        form = {"Action": action, "Version": API_VERSION, **parameters}
        body = urlencode(form).encode()
        headers = {"Content-Type": CONTENT_TYPE}

        def attempt(timeout: float) -> HttpResponse:
            response = self._client.call(action, "POST", "/", headers, body, timeout)
            return self._check_response(action, response)

        return self._client.retry(action, attempt, read)

    def _check_response(self, action: str, response: HttpResponse) -> HttpResponse:
        peer = self._client.peer
        try:
            code = find_text(ElementTree.fromstring(response.body), "Code")
        except ElementTree.ParseError:
            raise MaybeApplied(action, peer, f"status {response.status}, not XML")
        if response.status == 200 or code == NOT_FOUND_CODE:
            return response
        reason = f"status {response.status} {code}"
        if code in NO_CAPACITY_CODES:
            raise Refused(action, peer, reason)
        if code in NOT_APPLIED_CODES:
            raise Unavailable(action, peer, reason)
        if response.status >= 500:
            raise MaybeApplied(action, peer, reason)
        raise Rejected(action, peer, reason)


class MetadataClient:
    """Client of the metadata service, which announces that this instance will end."""

    def __init__(self, cfg: PlatformSettings, timers: TimerService):
        self._pool = HttpPool(cfg.metadata_url, METADATA_PEER, connections=1)
        self._timers = timers
        self._timeout = cfg.timeout_seconds
        self._token = ""
        self._token_until = 0.0  # monotonic seconds

    def notice(self) -> Notice | None:
        """Return the notice, or None if there is none.

        Raises Unavailable if the metadata cannot be read.
        """
        response = self._get_action()
        if response.status == 404:
            return None
        if response.status == 401:
            self._token = ""
        if response.status != 200:
            reason = f"status {response.status}"
            raise Unavailable("own notice", METADATA_PEER, reason)
        try:
            value = json.loads(response.body)
            is_stop = value["action"] == "stop"
            kind = NoticeKind.STOP if is_stop else NoticeKind.RECLAIM
            return Notice("", kind, parse_time(value["time"]))
        except (ValueError, KeyError, TypeError) as exc:
            raise Unavailable("own notice", METADATA_PEER, f"invalid response: {exc}")

    def _get_action(self) -> HttpResponse:
        if not self._token or self._timers.now() >= self._token_until:
            headers = {f"{TOKEN_HEADER}-ttl-seconds": str(METADATA_TOKEN_SECONDS)}
            response = self._request("PUT", "/latest/api/token", headers)
            if response.status != 200:
                reason = f"no token, status {response.status}"
                raise Unavailable("own notice", METADATA_PEER, reason)
            self._token = response.body.decode("latin-1").strip()
            self._token_until = self._timers.now() + METADATA_TOKEN_SECONDS / 2
        return self._request("GET", ACTION_PATH, {TOKEN_HEADER: self._token})

    def _request(self, method: str, path: str, headers: dict[str, str]) -> HttpResponse:
        try:
            return self._pool.request(
                "own notice", method, path, headers, b"", self._timeout
            )
        except (ConnectionLost, TimedOut, ProtocolError) as exc:
            raise Unavailable("own notice", METADATA_PEER, exc.reason)
