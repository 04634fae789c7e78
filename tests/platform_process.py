"""Run the platform fake as a process for tests."""

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

START_SECONDS = 10
STOP_SECONDS = 5


def serve(*answers: bytes) -> str:
    """Answer connections with these bytes, the last ones with the last of them."""
    server = socket.create_server(("127.0.0.1", 0))

    def answer_all():
        left = list(answers)
        while True:
            conn, _ = server.accept()
            with conn:
                conn.recv(65536)
                conn.sendall(left.pop(0) if len(left) > 1 else left[0])

    threading.Thread(target=answer_all, daemon=True).start()
    return f"http://127.0.0.1:{server.getsockname()[1]}"


class PlatformProcess:
    """Hold one fake process; ``admin`` sets its faults."""

    def __init__(self):
        self._directory = tempfile.TemporaryDirectory()
        self._process = SpawnedProcess(
            [sys.executable, "-m", "fakes.platform", "--port", "0"],
            module_environment(),
            Path(self._directory.name) / "output",
            Path(self._directory.name) / "errors",
        )
        self.port = int(self._process.read_first_line(START_SECONDS).split()[1])
        self.url = f"http://127.0.0.1:{self.port}"
        self.credentials = Path(self._directory.name) / "credentials.ini"
        self.credentials.write_text("[credentials]\naccess_key = a\nsecret_key = s\n")
        self.admin("PUT", "credentials", {"a": "s"})

    def admin(self, method: str, name: str, value: object = None) -> object:
        """Call the interface for tests and return its JSON answer."""
        conn = HTTPConnection("127.0.0.1", self.port, timeout=START_SECONDS)
        try:
            conn.request(method, f"/_fake/{name}", json.dumps(value))
            answer = conn.getresponse()
            body = json.loads(answer.read())
        finally:
            conn.close()
        if answer.status != 200:
            raise AssertionError(f"{name}: {answer.status} {body}")
        return body

    def faults(self, **values) -> None:
        """Set fault switches."""
        self.admin("PUT", "faults", values)

    def settings(self, **changes) -> PlatformSettings:
        """Return settings that lead to this process."""
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
        """End the process."""
        self._process.terminate()
        self._process.wait(STOP_SECONDS)
        self._directory.cleanup()


class PlatformTestCase(unittest.TestCase):
    """Share one fake process in a class; faults are cleared for each test."""

    @classmethod
    def setUpClass(cls):
        cls.platform = PlatformProcess()
        cls.addClassCleanup(cls.platform.stop)
        cls.no_faults = cls.platform.admin("GET", "faults")

    def setUp(self):
        self.platform.faults(**self.no_faults)
        self.timers = GeventTimerService()
        self.addCleanup(self.timers.stop)
