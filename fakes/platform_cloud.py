"""Instance list, cloud API and instance metadata of the fake platform.

The formats are those of Cloud Map ``DiscoverInstances``, the EC2 query API and the
instance metadata path at which an instance reads its own reclaim notice.
"""

import itertools
import json
import time
from datetime import UTC, datetime
from urllib.parse import parse_qsl
from xml.sax.saxutils import escape

from fakes.platform_state import (
    AnswerLost,
    FakeState,
    HttpRequest,
    HttpResponse,
    json_response,
)

EVENT_CODES = {"reclaim": "instance-retirement", "stop": "instance-stop"}
METADATA_ACTIONS = {"reclaim": "terminate", "stop": "stop"}
NAMESPACE = "http://ec2.amazonaws.com/doc/2016-11-15/"
METADATA_TOKEN = "fake-metadata-token"
HISTORY_RETENTION_SECONDS = 600.0


def format_time(seconds: float) -> str:
    """Return Unix seconds as an ISO 8601 time in UTC with milliseconds."""
    moment = datetime.fromtimestamp(seconds, UTC)
    return moment.strftime("%Y-%m-%dT%H:%M:%S.") + f"{moment.microsecond // 1000:03d}Z"


def to_attributes(item: dict) -> dict[str, str]:
    """Return the Cloud Map attributes for the fields of an Endpoint or Node."""
    renamed = {"host": "AWS_INSTANCE_IPV4", "port": "AWS_INSTANCE_PORT"}
    attributes = {}
    for name, value in item.items():
        if name in ("service", "id"):
            continue
        text = str(value).lower() if isinstance(value, bool) else str(value)
        attributes[renamed.get(name, name)] = text
    return attributes


class FakeInstanceList:
    """Instance list that shows the instances last set, or older ones while it lags."""

    def __init__(self, state: FakeState):
        self._state = state
        self._history: list[tuple[float, list[dict]]] = [(0.0, [])]
        self._shown_until = 0.0  # monotonic seconds

    def instances(self) -> list[dict]:
        """Return the instances as last set."""
        return self._history[-1][1]

    def set(self, items: list[dict]) -> None:
        """Replace all instances."""
        now = time.monotonic()
        self._history.append((now, items))
        if (
            len(self._history) > 2
            and now - self._history[1][0] > HISTORY_RETENTION_SECONDS
        ):
            del self._history[0]

    def handle(self, http_request: HttpRequest) -> HttpResponse:
        """Serve DiscoverInstances and DiscoverInstancesRevision."""
        content_type = "application/x-amz-json-1.1"
        self._state.counters["list_reads"] += 1
        if self._state.faults.list_down:
            error = {"__type": "ServiceUnavailable", "message": "outage"}
            return json_response(error, 503, content_type)
        # When the lag is switched on, the list keeps its present content; it does not
        # go back to an earlier one, such as the empty list before the first instances.
        until = time.monotonic() - self._state.faults.list_lag_seconds
        self._shown_until = max(self._shown_until, until)
        shown = [entry for entry in self._history if entry[0] <= self._shown_until]
        revision = max(len(shown), 1)
        answer: dict = {"InstancesRevision": revision}
        if http_request.headers["x-amz-target"].endswith(".DiscoverInstances"):
            self._state.counters["list_whole_reads"] += 1
            request = json.loads(http_request.body)
            answer["Instances"] = [
                self._entry(item, request)
                for item in (shown[-1][1] if shown else [])
                if item["service"] == request["ServiceName"]
            ]
        return json_response(answer, 200, content_type)

    def _entry(self, item: dict, request: dict) -> dict:
        return {
            "InstanceId": item["id"],
            "NamespaceName": request["NamespaceName"],
            "ServiceName": item["service"],
            "HealthStatus": "UNKNOWN",
            "Attributes": to_attributes(item),
        }


class FakeCloud:
    """Cloud API that starts and terminates instances and shows reclaim notices."""

    def __init__(self, state: FakeState):
        self._state = state
        self._ids = itertools.count(1)
        self._tokens: dict[str, str] = {}
        self.started: dict[str, dict] = {}
        self.notices: dict[str, dict] = {}

    def add_notice(self, notice: dict) -> None:
        """Add a notice: instance_id, kind, and not_before or in_seconds.

        Raises ValueError for an unknown kind.
        """
        if notice["kind"] not in EVENT_CODES:
            raise ValueError(f"kind must be one of {', '.join(EVENT_CODES)}")
        after = float(notice.get("in_seconds", 20))
        not_before = float(notice.get("not_before", time.time() + after))
        self.notices[notice["instance_id"]] = {
            "instance_id": notice["instance_id"],
            "kind": notice["kind"],
            "not_before": not_before,
        }

    def handle(self, http_request: HttpRequest) -> HttpResponse:
        """Serve one call in the EC2 query format."""
        form = dict(parse_qsl(http_request.body.decode()))
        action = form.get("Action", "")
        is_read = action.startswith("Describe")
        self._state.counters["cloud_reads" if is_read else "cloud_writes"] += 1
        if self._state.faults.cloud_down:
            return self._error_response(503, "Unavailable", "outage")
        if action == "RunInstances":
            response = self._run_instances(form)
        elif action == "TerminateInstances":
            response = self._terminate_instances(form)
        elif action == "DescribeInstanceStatus":
            response = self._describe_instance_status()
        else:
            return self._error_response(400, "InvalidAction", action)
        if not is_read and self._state.faults.consume("lose_cloud_answers"):
            raise AnswerLost
        return response

    def _run_instances(self, form: dict[str, str]) -> HttpResponse:
        token = form.get("ClientToken", "")
        if token not in self._tokens:
            if self._state.faults.refuse_starts:
                return self._error_response(
                    500, "InsufficientInstanceCapacity", "no capacity"
                )
            instance_id = f"i-{next(self._ids):017x}"
            self.started[instance_id] = form
            self._tokens[token] = instance_id
        item = f"<instanceId>{self._tokens[token]}</instanceId>"
        return self._success_response(
            "RunInstances", f"<instancesSet><item>{item}</item></instancesSet>"
        )

    def _terminate_instances(self, form: dict[str, str]) -> HttpResponse:
        instance_id = form.get("InstanceId.1", "")
        self.started.pop(instance_id, None)
        self.notices.pop(instance_id, None)
        item = f"<instanceId>{escape(instance_id)}</instanceId>"
        return self._success_response(
            "TerminateInstances", f"<instancesSet><item>{item}</item></instancesSet>"
        )

    def _describe_instance_status(self) -> HttpResponse:
        items = [
            f"<item><instanceId>{escape(notice['instance_id'])}</instanceId>"
            "<eventsSet><item>"
            f"<code>{EVENT_CODES[notice['kind']]}</code>"
            f"<notBefore>{format_time(notice['not_before'])}</notBefore>"
            "</item></eventsSet></item>"
            for notice in self.notices.values()
        ]
        body = f"<instanceStatusSet>{''.join(items)}</instanceStatusSet>"
        return self._success_response("DescribeInstanceStatus", body)

    def _success_response(self, action: str, body: str) -> HttpResponse:
        text = f'<{action}Response xmlns="{NAMESPACE}">{body}</{action}Response>'
        return HttpResponse(200, text.encode(), "text/xml")

    def _error_response(self, status: int, code: str, message: str) -> HttpResponse:
        error = f"<Error><Code>{code}</Code><Message>{escape(message)}</Message>"
        text = f"<Response><Errors>{error}</Error></Errors></Response>"
        return HttpResponse(status, text.encode(), "text/xml")

    def handle_metadata(self, http_request: HttpRequest) -> HttpResponse:
        """Serve ``/metadata/INSTANCE_ID/latest/...``; reads need the session token."""
        self._state.counters["metadata_reads"] += 1
        if self._state.faults.metadata_down:
            return HttpResponse(503)
        _, _, rest = http_request.path.partition("/metadata/")
        instance_id, _, path = rest.partition("/")
        if path == "latest/api/token" and http_request.method == "PUT":
            return HttpResponse(200, METADATA_TOKEN.encode(), "text/plain")
        if http_request.headers.get("x-aws-ec2-metadata-token") != METADATA_TOKEN:
            return HttpResponse(401)
        notice = self.notices.get(instance_id)
        if path != "latest/meta-data/spot/instance-action" or notice is None:
            return HttpResponse(404)
        moment = format_time(notice["not_before"])
        return json_response(
            {"action": METADATA_ACTIONS[notice["kind"]], "time": moment}
        )
