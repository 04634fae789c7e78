"""Falcon resources for status, metrics, health and recordings."""

from collections.abc import Callable

import falcon

from rattanwick.internal.base.errors import StepError
from rattanwick.internal.base.log import get_logger
from rattanwick.internal.base.metrics import METRICS_CONTENT_TYPE, render_metrics
from rattanwick.internal.platform.interfaces import ObjectStore
from rattanwick.internal.recording.records import RECORDINGS_PREFIX

MAX_LISTED_RECORDINGS = 1000

log = get_logger("operators")

StatusProvider = Callable[[], object]  # returns a section that can be written as JSON


class StatusResource:
    """/v1/operator/status: this node's view of the deployment, in sections."""

    def __init__(self, providers: dict[str, StatusProvider]):
        self._providers = providers

    def on_get(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Respond with all sections; one that cannot be built holds only ``error``."""
        status = {}
        for name, provider in self._providers.items():
            try:
                status[name] = provider()
            except Exception as exc:
                # In an incident, one failing section must not hide the others.
                log.exception("cannot build status section %s", name)
                status[name] = {"error": f"{type(exc).__name__}: {exc}"}
        resp.media = status


class MetricsResource:
    """/metrics: all metrics in the Prometheus text format."""

    def on_get(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Respond with the metrics of this process."""
        resp.content_type = METRICS_CONTENT_TYPE
        resp.data = render_metrics()


class HealthResource:
    """/healthz: whether the process runs."""

    def on_get(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Respond with 200."""
        resp.content_type = falcon.MEDIA_TEXT
        resp.text = "ok\n"


class ReadinessResource:
    """/readyz: whether the node accepts requests."""

    def __init__(self, not_ready_reason: Callable[[], str]):
        self._not_ready_reason = not_ready_reason

    def on_get(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Respond with 200 when ready, else 503 with the reason."""
        reason = self._not_ready_reason()
        resp.content_type = falcon.MEDIA_TEXT
        resp.status = falcon.HTTP_SERVICE_UNAVAILABLE if reason else falcon.HTTP_OK
        resp.text = f"{reason or 'ready'}\n"


class RecordingsResource:
    """/v1/operator/recordings: names and contents of recordings."""

    def __init__(self, objects: ObjectStore):
        self._objects = objects

    def on_get(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Respond with the recording ``name``, or without it with a list of names.

        Lists at most ``MAX_LISTED_RECORDINGS`` names that sort after ``after``.
        """
        name = req.get_param("name")
        try:
            if name is None:
                after = req.get_param("after", default="")
                resp.media = self._objects.list(
                    RECORDINGS_PREFIX, after, MAX_LISTED_RECORDINGS
                )
                return
            if not name.startswith(RECORDINGS_PREFIX):
                raise falcon.HTTPNotFound(
                    description="name: not the name of a recording"
                )
            data = self._objects.get(name)
        except StepError as exc:
            raise falcon.HTTPServiceUnavailable(description=str(exc))
        if data is None:
            raise falcon.HTTPNotFound(description="name: there is no such recording")
        resp.content_type = "application/octet-stream"
        resp.data = data
