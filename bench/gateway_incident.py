"""Cause an incident and explain a failed request from the logs.

    python -m bench.gateway_incident [--seed N]

Two nodes serve streams from two engines. One engine cuts its streams off inside an
event and then crashes. One of the failed requests is picked at random, and the command
``rattanwick explain`` must name its cause from nothing but the logs of both nodes.
"""

# The standard library must be patched before any module imports ssl or threading.
from gevent import monkey

monkey.patch_all()

import argparse  # noqa: E402
import random  # noqa: E402
import sys  # noqa: E402
import tempfile  # noqa: E402
from dataclasses import dataclass  # noqa: E402
from pathlib import Path  # noqa: E402

import gevent  # noqa: E402

from fakes.gateway_deployment import (  # noqa: E402
    GatewayDeployment,
    make_configuration,
)
from fakes.processes import module_environment, run_command  # noqa: E402
from soak.callers import Caller, CallResult  # noqa: E402

NODES = ("front-a-1", "front-b-1")
ENGINES = ("e-1", "e-2")
CALLERS = 6
HEALTHY_SECONDS = 1.0
FAULT_SECONDS = 2.0
EXPLAIN_TIMEOUT_SECONDS = 30.0


@dataclass(slots=True)
class Incident:
    """Failed requests of an incident, and the explanation of one of them."""

    failed: list[CallResult]  # all requests that failed
    picked: CallResult
    output: str  # of ``rattanwick explain`` for the picked request
    cause: str  # empty if the command named none


class IncidentError(Exception):
    """Raised if an incident cannot be caused as planned."""


def run_incident(seed: int, folder: Path) -> Incident:
    """Return one failed request of the incident with its explanation.

    Raise IncidentError if the nodes did not start or no request failed.
    """
    rng = random.Random(seed)
    deployment = GatewayDeployment(folder, NODES)
    try:
        results = _serve_with_fault(deployment, rng)
    finally:
        deployment.close()
    failed = [result for result in results if result.status and not result.succeeded]
    if not failed:
        raise IncidentError("no request failed while an engine was faulty")
    picked = rng.choice(failed)
    logs = [str(deployment.log_path(name)) for name in NODES]
    command = [sys.executable, "-m", "rattanwick", "explain", picked.id, *logs]
    completed = run_command(command, module_environment(), EXPLAIN_TIMEOUT_SECONDS)
    output = completed.stdout + completed.stderr
    cause = output.rpartition("cause: ")[2].strip() if "cause: " in output else ""
    return Incident(failed, picked, output, cause)


def _serve_with_fault(
    deployment: GatewayDeployment, rng: random.Random
) -> list[CallResult]:
    """Serve callers, let the busiest engine fail, and return all calls' results."""
    deployment.configure(make_configuration(1))
    for name in ENGINES:
        engine = deployment.add_endpoint(name, stream=True)
        engine.echo_request_id, engine.event_seconds = True, 0.02
    deployment.add_endpoint("p-1", stream=False).echo_request_id = True
    for name in NODES:
        deployment.start_node(name)
    if not deployment.wait_joined():
        raise IncidentError("the nodes did not join within the wait limit")
    callers = [
        Caller(deployment, number, rng.getrandbits(32)) for number in range(CALLERS)
    ]
    tasks = [gevent.spawn(caller.run) for caller in callers]
    gevent.sleep(HEALTHY_SECONDS)
    engines = [deployment.endpoints[name] for name in ENGINES]
    engine = max(engines, key=lambda item: len(item.executed_requests))
    engine.fault = "cut_in_event"
    gevent.sleep(FAULT_SECONDS / 2)
    engine.fault, engine.faults_left = "crash", 1
    gevent.sleep(FAULT_SECONDS / 2)
    for caller in callers:
        caller.stopping = True
    gevent.joinall(tasks, raise_error=True)
    return [result for caller in callers for result in caller.results]


def main() -> int:
    """Run the incident, print the explanation and return 1 if it names no cause."""
    parser = argparse.ArgumentParser(description=__doc__.partition("\n")[0])
    parser.add_argument("--seed", type=int, default=1)
    args = parser.parse_args()
    with tempfile.TemporaryDirectory(prefix="rattanwick-incident-") as name:
        incident = run_incident(args.seed, Path(name))
    picked = incident.picked
    print(f"{len(incident.failed)} requests failed; picked {picked.id}")
    print(f"its caller saw status {picked.status}, {picked.error or 'no error'}")
    print(incident.output)
    return 0 if incident.cause else 1


if __name__ == "__main__":
    sys.exit(main())
