"""Caller server of a node with its dependencies in memory, for ``bench.relay_cost``.

Reads engine ids and ports from a JSON file, prints its own port and serves until
SIGTERM. If RELAY_PROFILE names a file, a profile of the run is written there.
"""

import argparse
import cProfile
import json
import os
import signal

from gevent import signal_handler
from gevent.event import Event

from fakes.collaborators import endpoint, request_dependencies
from rattanwick.internal.base.timers import GeventTimerService
from rattanwick.internal.requests.app import build_application
from rattanwick.internal.requests.server import CallerServer


def main() -> int:
    """Serve until SIGTERM, then close the server gracefully."""
    parser = argparse.ArgumentParser(prog="bench.relay_node")
    parser.add_argument("--config", required=True)
    args = parser.parse_args()
    with open(args.config, encoding="utf-8") as file:
        ports = json.load(file)
    endpoints = [endpoint(name, "p", "engine", port) for name, port in ports.items()]
    timers = GeventTimerService()
    dependencies = request_dependencies(endpoints, timers, least_used=True)
    dependencies.router.keep_history = False
    dependencies.replicator.keep_history = False
    server = CallerServer(
        dependencies.settings, build_application(dependencies), timers, port=0
    )
    stopped = Event()
    signal_handler(signal.SIGTERM, stopped.set)
    server.start()
    print(json.dumps({"port": server.server_port}), flush=True)
    profile_name = os.environ.get("RELAY_PROFILE")
    profile = cProfile.Profile()
    if profile_name:
        profile.enable()
    stopped.wait()
    if profile_name:
        profile.disable()
        profile.dump_stats(profile_name)
    server.close_gracefully(2.0)
    return 0


if __name__ == "__main__":
    raise SystemExit(main())
