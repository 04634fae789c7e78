"""Fake endpoints on loopback: model engines and plain services in one process.

Start it with ``python -m fakes.endpoints --config FILE.json``. The file holds a
JSON list of objects; each is one endpoint on its own port:

    {"id": "e1", "pool": "rattan-afila", "kind": "engine", "port": 0,
     "slots": 8, "first_token_seconds": 0.02, "token_seconds": 0.005}

``kind`` is ``engine`` or ``service``; port 0 takes any free port. Further keys of
an engine: ``prefill_token_seconds``, ``batch_slowdown``, ``cache_blocks``,
``usual_tokens`` and ``tokens_per_write`` (see ``EngineSpec``); of a service:
``call_seconds`` and ``slots``; of both: ``host`` and ``faults``. Other keys are
ignored. Once all endpoints listen, one line of JSON on standard output maps ids to
ports. SIGTERM and SIGINT stop the process.

Engine: ``POST /v1/chat/completions`` and ``/v1/completions``, ``GET /load``,
``GET /v1/cache_events?after=N``, ``POST /kv/export {request_id}``,
``POST /kv/import {blocks}``, ``POST /v1/orders {fencing_number, action, target}``,
``GET /v1/orders/state``. The generated text is a function of the prompt
(``endpoint_text.expected_text``); ``#tokens=N`` in a prompt sets its length.
Cache events name the chained xxh64 digests of 64-character blocks of the prompt
(``endpoint_text.block_hashes``).

Service: each ``POST``, on any path, makes a booking, also with a repeated key;
``GET /load``.

Admin interface, at every endpoint:

    GET /_fake/ledger?after=N     calls that reached this endpoint (``LedgerEntry``)
    DELETE /_fake/ledger          clear the ledger
    GET, PUT /_fake/faults        fault switches (``Faults``), as a JSON object
    .../_fake/endpoints/ID/...    the same for another endpoint of the process,
                                  such as one that is down

``{"down": true}`` closes the listener and all connections until
``{"down": false}``, or for ``down_seconds`` if that is set too.
"""

import argparse
import json
import signal

from gevent import monkey, signal_handler
from gevent.event import Event

from fakes.endpoint_app import FakeEndpoint


def start_endpoints(configs: list[dict]) -> dict[str, FakeEndpoint]:
    """Start the endpoints in this process and return them by id."""
    registry: dict[str, FakeEndpoint] = {}
    for config in configs:
        endpoint = FakeEndpoint(config, registry)
        registry[endpoint.id] = endpoint
        if endpoint.faults.down:
            continue
        endpoint.listener.start()
    return registry


def stop_endpoints(registry: dict[str, FakeEndpoint]) -> None:
    """Close the listeners and connections of all endpoints."""
    for endpoint in registry.values():
        endpoint.listener.crash(0)


def main() -> int:
    """Serve until SIGTERM or SIGINT."""
    parser = argparse.ArgumentParser(
        prog="fakes.endpoints",
        description=__doc__,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.add_argument("--config", required=True, metavar="FILE.json")
    args = parser.parse_args()
    with open(args.config, encoding="utf-8") as file:
        configs = json.load(file)
    stopped = Event()
    registry = start_endpoints(configs)
    for number in (signal.SIGTERM, signal.SIGINT):
        signal_handler(number, stopped.set)
    ports = {name: endpoint.listener.port for name, endpoint in registry.items()}
    print(json.dumps(ports), flush=True)
    stopped.wait()
    stop_endpoints(registry)
    return 0


if __name__ == "__main__":
    monkey.patch_all()
    raise SystemExit(main())
