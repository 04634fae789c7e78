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
# Image, network and start script of a role are the operators' matter.
TEMPLATE_PREFIX = "rattanwick-"
MAX_TOKEN_LENGTH = 64  # characters of a client token
EVENT_KINDS = {
    "instance-retirement": NoticeKind.RECLAIM,
    "instance-stop": NoticeKind.STOP,
}
# Descriptions of events that are over start with one of these words.
CLOSED_EVENTS = ("[Completed]", "[Canceled]")
NO_CAPACITY = frozenset(
    {
        "InsufficientInstanceCapacity",
        "InstanceLimitExceeded",
        "MaxSpotInstanceCountExceeded",
        "SpotMaxPriceTooLow",
        "VcpuLimitExceeded",
    }
)
NOT_APPLIED = frozenset({"RequestLimitExceeded", "ServiceUnavailable", "Unavailable"})
NOT_FOUND = "InvalidInstanceID.NotFound"

METADATA_PEER = "instance metadata"
TOKEN_SECONDS = 21_600
TOKEN_HEADER = "X-aws-ec2-metadata-token"
ACTION_PATH = "/latest/meta-data/spot/instance-action"


def parse_time(text: str) -> float:
    """Return Unix seconds for a time of the published formats."""
    return datetime.fromisoformat(text).timestamp()


def parse_notices(body: bytes) -> list[Notice]:
    """Return the open notices of a DescribeInstanceStatus answer."""
    notices = []
    for status in children(ElementTree.fromstring(body), "instanceStatusSet"):
        instance_id = find_text(status, "instanceId")
        for event in children(status, "eventsSet"):
            kind = EVENT_KINDS.get(find_text(event, "code"))
            closed = find_text(event, "description").startswith(CLOSED_EVENTS)
            if kind is not None and not closed:
                not_before = parse_time(find_text(event, "notBefore"))
                notices.append(Notice(instance_id, kind, not_before))
    return notices


def children(root: ElementTree.Element, name: str) -> list[ElementTree.Element]:
    """Return the items of the set with a name directly under an element."""
    return [item for part in root if local_name(part.tag) == name for item in part]


class Ec2CloudApi(CloudApi):
    """Start and stop instances and read notices."""

    def __init__(self, cfg: PlatformSettings, timers: TimerService, node_id: str):
        self._client = ServiceClient(SERVICE, cfg.cloud_url, cfg, timers, node_id)
        self._metadata = MetadataClient(cfg, timers) if cfg.metadata_url else None

    def start(self, spec: InstanceSpec, token: str) -> str:
        """Start an instance; a repeat with the same token starts no other one.

        Raise Refused without capacity, Unavailable or MaybeApplied.
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
        answer = self._call("RunInstances", parameters)
        instance_id = find_text(ElementTree.fromstring(answer.body), "instanceId")
        if not instance_id:
            raise MaybeApplied("RunInstances", self._client.peer, "no instanceId")
        return instance_id

    def stop(self, instance_id: str) -> None:
        """Stop an instance; one that is gone is no error."""
        self._call("TerminateInstances", {"InstanceId.1": instance_id})

    def notices(self) -> list[Notice]:
        """Return all open notices; raise Unavailable."""
        step = "DescribeInstanceStatus"
        parameters = {"Filter.1.Name": "event.code"}
        for number, code in enumerate(EVENT_KINDS, 1):
            parameters[f"Filter.1.Value.{number}"] = code
        notices: list[Notice] = []
        while True:
            answer = self._call(step, parameters, read=True)
            try:
                notices.extend(parse_notices(answer.body))
                token = find_text(ElementTree.fromstring(answer.body), "nextToken")
            except (ElementTree.ParseError, ValueError) as exc:
                raise Unavailable(step, self._client.peer, str(exc))
            if not token:
                return notices
            parameters["NextToken"] = token

    def own_notice(self) -> Notice | None:
        """Return the notice for this instance; raise Unavailable.

        Its ``instance_id`` is empty: the metadata does not repeat the name.
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
            answer = self._client.call(action, "POST", "/", headers, body, timeout)
            return self._check(action, answer)

        return self._client.retry(action, attempt, read)

    def _check(self, action: str, answer: HttpResponse) -> HttpResponse:
        peer = self._client.peer
        try:
            code = find_text(ElementTree.fromstring(answer.body), "Code")
        except ElementTree.ParseError:
            raise MaybeApplied(action, peer, f"status {answer.status}, not XML")
        if answer.status == 200 or code == NOT_FOUND:
            return answer
        reason = f"status {answer.status} {code}"
        if code in NO_CAPACITY:
            raise Refused(action, peer, reason)
        if code in NOT_APPLIED:
            raise Unavailable(action, peer, reason)
        if answer.status >= 500:
            raise MaybeApplied(action, peer, reason)
        raise Rejected(action, peer, reason)


class MetadataClient:
    """Read the notice of this instance from its metadata."""

    def __init__(self, cfg: PlatformSettings, timers: TimerService):
        self._pool = HttpPool(cfg.metadata_url, METADATA_PEER, connections=1)
        self._timers = timers
        self._timeout = cfg.timeout_seconds
        self._token = ""
        self._token_until = 0.0  # monotonic seconds

    def notice(self) -> Notice | None:
        """Return the notice, or None where there is none; raise Unavailable."""
        answer = self._get()
        if answer.status == 404:
            return None
        if answer.status == 401:
            self._token = ""
        if answer.status != 200:
            reason = f"status {answer.status}"
            raise Unavailable("own notice", METADATA_PEER, reason)
        try:
            value = json.loads(answer.body)
            stop = value["action"] == "stop"
            kind = NoticeKind.STOP if stop else NoticeKind.RECLAIM
            return Notice("", kind, parse_time(value["time"]))
        except (ValueError, KeyError, TypeError) as exc:
            raise Unavailable("own notice", METADATA_PEER, f"bad answer: {exc}")

    def _get(self) -> HttpResponse:
        if not self._token or self._timers.now() >= self._token_until:
            headers = {f"{TOKEN_HEADER}-ttl-seconds": str(TOKEN_SECONDS)}
            answer = self._request("PUT", "/latest/api/token", headers)
            if answer.status != 200:
                reason = f"no token, status {answer.status}"
                raise Unavailable("own notice", METADATA_PEER, reason)
            self._token = answer.body.decode("latin-1").strip()
            self._token_until = self._timers.now() + TOKEN_SECONDS / 2
        return self._request("GET", ACTION_PATH, {TOKEN_HEADER: self._token})

    def _request(self, method: str, path: str, headers: dict[str, str]) -> HttpResponse:
        try:
            return self._pool.request(
                "own notice", method, path, headers, b"", self._timeout
            )
        except (ConnectionLost, TimedOut, ProtocolError) as exc:
            raise Unavailable("own notice", METADATA_PEER, exc.reason)
