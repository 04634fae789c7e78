"""The platform fake as a process, for tests."""

import json
import socket
import sys
import tempfile
import threading
import unittest
from http.client import HTTPConnection
from pathlib import Path

from fakes.processes import SpawnedProcess, module_environment
from rattanwick.internal.base.settings import PlatformSettings
from rattanwick.internal.base.timers import GeventTimerService

START_TIMEOUT_SECONDS = 10
STOP_TIMEOUT_SECONDS = 5


def serve(*responses: bytes) -> str:
    """Serve these bytes, one item for each connection; return the URL.

    The last item is repeated for all further connections.
    """
    server = socket.create_server(("127.0.0.1", 0))

    def respond_to_all():
        left = list(responses)
        while True:
            conn, _ = server.accept()
            with conn:
                conn.recv(65536)
                conn.sendall(left.pop(0) if len(left) > 1 else left[0])

    threading.Thread(target=respond_to_all, daemon=True).start()
    return f"http://127.0.0.1:{server.getsockname()[1]}"


class PlatformProcess:
    """A process of the platform fake."""

    def __init__(self):
        self._directory = tempfile.TemporaryDirectory()
        self._process = SpawnedProcess(
            [sys.executable, "-m", "fakes.platform", "--port", "0"],
            module_environment(),
            Path(self._directory.name) / "output",
            Path(self._directory.name) / "errors",
        )
        self.port = int(self._process.read_first_line(START_TIMEOUT_SECONDS).split()[1])
        self.url = f"http://127.0.0.1:{self.port}"
        self.credentials = Path(self._directory.name) / "credentials.ini"
        self.credentials.write_text("[credentials]\naccess_key = a\nsecret_key = s\n")
        self.admin("PUT", "credentials", {"a": "s"})

    def admin(self, method: str, name: str, value: object = None) -> object:
        """Call the fake's interface for tests and return its JSON response."""
        conn = HTTPConnection("127.0.0.1", self.port, timeout=START_TIMEOUT_SECONDS)
        try:
            conn.request(method, f"/_fake/{name}", json.dumps(value))
            response = conn.getresponse()
            body = json.loads(response.read())
        finally:
            conn.close()
        if response.status != 200:
            raise AssertionError(f"{name}: {response.status} {body}")
        return body

    def faults(self, **values) -> None:
        """Set faults of the fake by name."""
        self.admin("PUT", "faults", values)

    def settings(self, **changes) -> PlatformSettings:
        """Return settings that use this process for all services."""
        values = {
            "table_url": self.url,
            "object_url": self.url,
            "instance_list_url": self.url,
            "cloud_url": self.url,
            "metadata_url": f"{self.url}/metadata/i-1",
            "credentials_file": str(self.credentials),
            "region": "costa-gye",
            "timeout_seconds": 2.0,
        }
        return PlatformSettings(**{**values, **changes})

    def stop(self) -> None:
        """Stop the process and delete its files."""
        self._process.terminate()
        self._process.wait(STOP_TIMEOUT_SECONDS)
        self._directory.cleanup()


class PlatformTestCase(unittest.TestCase):
    """Test case whose tests share one fake process; faults are reset for each test."""

    @classmethod
    def setUpClass(cls):
        cls.platform = PlatformProcess()
        cls.addClassCleanup(cls.platform.stop)
        cls.no_faults = cls.platform.admin("GET", "faults")

    def setUp(self):
        self.platform.faults(**self.no_faults)
        self.timers = GeventTimerService()
        self.addCleanup(self.timers.stop)
