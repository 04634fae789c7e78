"""Fake platform: one process that serves the published protocols of the platform.

Start it with ``python -m fakes.platform --port N`` (0 picks a free port). It
prints ``listening PORT`` and serves until SIGTERM or SIGINT:

- table service: DynamoDB JSON 1.0 (``X-Amz-Target``)
- object store and weight store: S3 REST, ``/BUCKET/NAME``; the bucket
  ``weights`` answers 503 SlowDown above ``weights_per_second``
- instance list: Cloud Map DiscoverInstances and DiscoverInstancesRevision
- cloud API: EC2 query format, ``POST /``
- instance metadata: ``/metadata/INSTANCE_ID`` is the ``metadata_url`` of a node
- traces: OTLP over HTTP, ``POST /v1/traces``

Admin interface for tests and the demo:

- ``PUT /_fake/faults``: JSON object of switches, see ``platform_state.Faults``;
  switches that are not named keep their value; an unknown one gives 400
- ``GET /_fake/faults``: the switches
- ``PUT /_fake/instances``: JSON list; each item has ``service`` (``nodes`` or
  ``endpoints``) and the fields of Node or Endpoint. Replaces the whole list.
- ``GET /_fake/instances``: the list as last set, without lag
- ``POST /_fake/notices``: ``{"instance_id", "kind": "reclaim" or "stop",
  "in_seconds" or "not_before"}``, or a list of these; shown by
  DescribeInstanceStatus and in the metadata of the instance. For an endpoint
  ``instance_id`` is the id of the endpoint.
- ``DELETE /_fake/notices``: withdraw all notices
- ``PUT /_fake/credentials``: ``{ACCESS_KEY: SECRET_KEY}``; from then on signatures
  are checked. Before that any well-formed signature is accepted.
- ``GET /_fake/started``: instances that were started, with their parameters
- ``GET /_fake/counters``: number of reads and writes by service
- ``GET /_fake/spans?trace_id=HEX``: spans as a JSON list, ordered by start
"""

import argparse
import json
import signal
import socket
from http import HTTPStatus
from urllib.parse import parse_qsl

import gevent
from gevent.pywsgi import WSGIHandler, WSGIServer

from fakes.platform_cloud import FakeCloud, FakeInstanceList
from fakes.platform_objects import FakeObjects
from fakes.platform_signatures import SignatureChecker
from fakes.platform_state import (
    AnswerLost,
    FakeState,
    HttpRequest,
    HttpResponse,
    json_response,
)
from fakes.platform_table import FakeTable
from fakes.platform_traces import FakeTraces


class ConnectionHandler(WSGIHandler):
    """Handler that lets the application close the connection and see the raw target."""

    def handle(self) -> None:
        """Serve one connection."""
        # Head and body are sent in two segments. Without TCP_NODELAY, the second one
        # waits for the client's delayed acknowledgement, about 40 ms.
        self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        super().handle()

    def get_environ(self) -> dict:
        """Return the environment with the raw target and a function to disconnect."""
        environ = super().get_environ()
        environ["fake.drop"] = self._drop
        environ["fake.target"] = self.path
        return environ

    def _drop(self) -> None:
        self.close_connection = True
        self.socket.shutdown(socket.SHUT_RDWR)

    def handle_error(self, kind, value, traceback) -> None:
        """Ignore connections that the client or a fault has closed."""
        if not issubclass(kind, OSError):
            super().handle_error(kind, value, traceback)


class FakePlatform:
    """WSGI application that routes each request to the fake service it is for."""

    def __init__(self):
        self._state = FakeState()
        self._table = FakeTable(self._state)
        self._objects = FakeObjects(self._state)
        self._list = FakeInstanceList(self._state)
        self._cloud = FakeCloud(self._state)
        self._traces = FakeTraces()
        self._signatures = SignatureChecker()

    def __call__(self, environ: dict, start_response) -> list[bytes]:
        """Serve one request, or close the connection if a fault loses the response."""
        try:
            response = self.handle(read_request(environ), environ["fake.target"])
        except AnswerLost:
            environ["fake.drop"]()
            response = HttpResponse(500)
        reason = HTTPStatus(response.status).phrase
        headers = [
            ("Content-Type", response.content_type),
            ("Content-Length", str(len(response.body))),
        ]
        start_response(f"{response.status} {reason}", headers)
        return [response.body]

    def handle(self, http_request: HttpRequest, raw_target: str) -> HttpResponse:
        """Return the response to a request; raise AnswerLost if a fault loses it."""
        target = http_request.headers.get("x-amz-target", "")
        if http_request.path.startswith("/_fake/"):
            return self._admin(http_request)
        if http_request.path == "/v1/traces":
            return self._traces.handle(http_request)
        if http_request.path.startswith("/metadata/"):
            return self._cloud.handle_metadata(http_request)
        if not self._signatures.accepts(http_request, raw_target):
            return json_response({"__type": "InvalidSignatureException"}, 403)
        if target.startswith("DynamoDB_20120810."):
            return self._table.handle(http_request)
        if target.startswith("Route53AutoNaming_v20170314."):
            return self._list.handle(http_request)
        if http_request.method == "POST" and http_request.path == "/":
            return self._cloud.handle(http_request)
        return self._objects.handle(http_request)

    def _admin(self, http_request: HttpRequest) -> HttpResponse:
        name = f"{http_request.method} {http_request.path.removeprefix('/_fake/')}"
        try:
            value = json.loads(http_request.body) if http_request.body else None
            return self._run_admin(name, value, http_request.query)
        except (ValueError, KeyError, TypeError) as exc:
            return json_response({"error": f"{type(exc).__name__}: {exc}"}, 400)

    def _run_admin(self, name: str, value, query: dict[str, str]) -> HttpResponse:
        if name == "PUT faults":
            self._state.faults.update(value)
        elif name == "PUT credentials":
            self._signatures.secrets = dict(value)
        elif name == "PUT instances":
            self._list.set([dict(item) for item in value])
        elif name == "POST notices":
            for notice in value if isinstance(value, list) else [value]:
                self._cloud.add_notice(notice)
        elif name == "DELETE notices":
            self._cloud.notices.clear()
        elif name == "GET spans":
            return self._traces.spans(query.get("trace_id", ""))
        elif name.startswith("GET "):
            shown = {
                "GET faults": self._state.to_json,
                "GET instances": self._list.instances,
                "GET started": lambda: self._cloud.started,
                "GET counters": lambda: self._state.counters,
            }
            if name in shown:
                return json_response(shown[name]())
            return json_response({"error": f"unknown: {name}"}, 404)
        else:
            return json_response({"error": f"unknown: {name}"}, 404)
        return json_response({})


def read_request(environ: dict) -> HttpRequest:
    """Return the request of a WSGI environment."""
    headers = {
        name[5:].lower().replace("_", "-"): value
        for name, value in environ.items()
        if name.startswith("HTTP_")
    }
    headers["content-type"] = environ.get("CONTENT_TYPE", "")
    query = dict(parse_qsl(environ["QUERY_STRING"], keep_blank_values=True))
    path = environ["PATH_INFO"].encode("latin-1").decode()
    body = environ["wsgi.input"].read()
    return HttpRequest(environ["REQUEST_METHOD"], path, query, headers, body)


def main() -> None:
    """Serve until SIGTERM or SIGINT."""
    parser = argparse.ArgumentParser(description="Fake platform.")
    parser.add_argument("--port", type=int, default=0)
    args = parser.parse_args()
    server = WSGIServer(
        ("127.0.0.1", args.port),
        FakePlatform(),
        handler_class=ConnectionHandler,
        log=None,
    )
    server.start()
    print(f"listening {server.server_port}", flush=True)
    gevent.signal_handler(signal.SIGTERM, server.stop)
    gevent.signal_handler(signal.SIGINT, server.stop)
    server.serve_forever()


if __name__ == "__main__":
    main()
