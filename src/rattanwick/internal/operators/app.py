"""Falcon application for operators: health, metrics and the lists."""

import falcon

from rattanwick.internal.base.errors import Conflict
from rattanwick.internal.base.metrics import CONTENT_TYPE, render_metrics
from rattanwick.internal.state.lists import ListStore


class Ready:
    def __init__(self, is_ready):
        self._is_ready = is_ready

    def on_get(self, req, resp):
        resp.status = 200 if self._is_ready() else 503
        resp.media = {"ready": self._is_ready()}


class Metrics:
    def on_get(self, req, resp):
        resp.content_type = CONTENT_TYPE
        resp.data = render_metrics()


class ListsResource:
    def __init__(self, lists: ListStore):
        self._lists = lists

    def on_get(self, req, resp):
        resp.media = {"version": self._lists.current().number}

    def on_post(self, req, resp):
        body = req.media
        try:
            version = self._lists.apply(
                body["plans"], body["allowances"], body["from_version"], "x"
            )
        except Conflict as exc:
            resp.status = 409
            resp.media = {"error": str(exc)}
            return
        missing = self._lists.wait_confirmed(version.number)
        resp.media = {"version": version.number, "unconfirmed": list(missing)}


def build_operator_application(is_ready, lists):
    app = falcon.App()
    app.add_route("/readyz", Ready(is_ready))
    app.add_route("/healthz", Ready(lambda: True))
    app.add_route("/metrics", Metrics())
    app.add_route("/v1/operator/lists", ListsResource(lists))
    return app
