"""What the cases share: a configuration, the record of a run, its start and end."""

import asyncio
import os
import sys
import tempfile
import time
from pathlib import Path

from lib3.clients import HOST, KEY

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
BROKEN, HELD, NOT_RUN = 1, 0, 2
CONTACT_SECONDS = 3.0


class NotRun(Exception):
    """The case could not run."""


class Record:
    """Lines of ``record.txt``, with seconds since the start of the traffic."""

    def __init__(self, folder):
        self.path = folder / "record.txt"
        self.started = time.monotonic()
        self.lines = []

    def add(self, text, at=None):
        seconds = (time.monotonic() if at is None else at) - self.started
        self.lines.append((seconds, text))

    def write(self, summary):
        text = [f"{seconds:8.3f} {line}" for seconds, line in sorted(self.lines)]
        self.path.write_text("\n".join([*summary, "", *text, ""]))
        sys.stdout.write("\n".join([*summary, ""]))


def make_route(name, kind, service, timeout_ms, slo_ms, **more):
    """Return a route in the operator's format."""
    return {
        "name": name,
        "host": HOST,
        "prefix": f"/{name}/",
        "kind": kind,
        "service": service,
        "timeout_ms": timeout_ms,
        "slo_ms": slo_ms,
        "max_attempts": 1,
        "priority": 1,
        **more,
    }


def make_configuration(version, routes, services, **more):
    """Return a configuration in the operator's format."""
    return {
        "version": version,
        "routes": routes,
        "services": services,
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        "tenants": [{"name": "t1", "api_keys": [KEY], "rate_per_s": 0}],
        **more,
    }


def run(case, folder):
    """Run a case, a function of a temporary folder and a record; exit with its result.

    It returns whether the rule was broken, and lines for the head of the record.
    """
    record = Record(folder)

    def ignore(loop, context):
        pass  # connections of stand-ins that end with their tasks

    async def play(temporary):
        asyncio.get_running_loop().set_exception_handler(ignore)
        return await asyncio.wait_for(case(temporary, record), 110)

    try:
        with tempfile.TemporaryDirectory(prefix="review-") as name:
            broken, summary = asyncio.run(play(Path(name)))
    except (NotRun, OSError, TimeoutError) as exc:
        record.write([f"case could not run: {type(exc).__name__} {exc}"])
        sys.exit(NOT_RUN)
    verdict = "rule broken" if broken else "rule held"
    record.write([f"trouble: {TROUBLE}; {verdict}", *summary])
    sys.exit(BROKEN if broken else HELD)
