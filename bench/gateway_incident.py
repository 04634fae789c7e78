"""Play an incident and explain a failed request.

    python -m bench.gateway_incident [--seed N]

Two nodes serve streams from two engines. One engine ends its streams inside an event
and then crashes. A caller whose answer failed is picked, and the command
``rattanwick explain`` must tell its cause from the logs of both nodes alone.
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
EXPLAIN_SECONDS = 30.0


@dataclass(slots=True)
class Incident:
    """Hold a failed request and what the command told of it."""

    failed: list[CallResult]
    picked: CallResult
    output: str
    cause: str  # empty where the command named none


class IncidentError(Exception):
    """Report an incident in which nothing failed."""


def run_incident(seed: int, folder: Path) -> Incident:
    """Return one failed request of the incident with its explanation."""
    rng = random.Random(seed)
    deployment = GatewayDeployment(folder, NODES)
    try:
        told = _serve_with_fault(deployment, rng)
    finally:
        deployment.close()
    failed = [item for item in told if item.status and not item.succeeded]
    if not failed:
        raise IncidentError("no request failed")
    picked = rng.choice(failed)
    logs = [str(deployment.log_path(name)) for name in NODES]
    command = [sys.executable, "-m", "rattanwick", "explain", picked.id, *logs]
    done = run_command(command, module_environment(), EXPLAIN_SECONDS)
    output = done.stdout + done.stderr
    cause = output.rpartition("cause: ")[2].strip() if "cause: " in output else ""
    return Incident(failed, picked, output, cause)


def _serve_with_fault(
    deployment: GatewayDeployment, rng: random.Random
) -> list[CallResult]:
    """Serve callers, let an engine fail, and return what all callers were told."""
    deployment.configure(make_configuration(1))
    for name in ENGINES:
        engine = deployment.add_endpoint(name, stream=True)
        engine.echo_request_id, engine.event_seconds = True, 0.02
    deployment.add_endpoint("p-1", stream=False).echo_request_id = True
    for name in NODES:
        deployment.start_node(name)
    if not deployment.wait_joined():
        raise IncidentError("the nodes did not come up")
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
    return [item for caller in callers for item in caller.results]


def main() -> int:
    """Play the incident and print the explanation; 1 where it names no cause."""
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
