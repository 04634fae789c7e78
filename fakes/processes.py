"""Child processes that are started without a fork.

A forked child of a gevent program may run other tasks before it executes its program,
and then reads from its parent's connections. ``posix_spawn`` prevents this.
"""

import os
import signal
import subprocess
import tempfile
import time
from pathlib import Path

import gevent

ROOT = Path(__file__).resolve().parent.parent
POLL_INTERVAL_SECONDS = 0.02


def module_environment() -> dict[str, str]:
    """Return an environment in which ``python -m`` finds this project's modules."""
    path = f"{ROOT / 'src'}{os.pathsep}{ROOT}"
    return {**os.environ, "PYTHONPATH": path}


class SpawnedProcess:
    """A child process that writes its output to files.

    Standard error goes to ``errors``, or to ``output`` too if ``errors`` is None.
    """

    def __init__(
        self,
        command: list[str],
        env: dict[str, str],
        output: str | Path,
        errors: str | Path | None = None,
    ):
        self.output = Path(output)
        flags = os.O_WRONLY | os.O_CREAT | os.O_APPEND
        actions = [(os.POSIX_SPAWN_OPEN, 1, str(output), flags, 0o600)]
        if errors is None:
            actions.append((os.POSIX_SPAWN_DUP2, 1, 2))
        else:
            actions.append((os.POSIX_SPAWN_OPEN, 2, str(errors), flags, 0o600))
        # The loop would miss the end of a child that exits before this call.
        loop = gevent.get_hub().loop
        loop.install_sigchld()
        self.started = time.monotonic()
        self.pid = os.posix_spawn(command[0], command, env, file_actions=actions)
        self.status: int | None = None
        # The event loop reaps every child of this process, so waitpid must not be used.
        self._watcher = loop.child(self.pid)
        self._watcher.start(self._record_exit)

    def _record_exit(self) -> None:
        self.status = os.waitstatus_to_exitcode(self._watcher.rstatus)
        self._watcher.stop()

    def terminate(self) -> None:
        """Ask the process to stop."""
        self.send_signal(signal.SIGTERM)

    def kill(self) -> None:
        """Kill the process."""
        self.send_signal(signal.SIGKILL)

    def send_signal(self, number: int) -> None:
        """Send a signal, unless the process has ended."""
        if self.poll() is None:
            os.kill(self.pid, number)

    def poll(self) -> int | None:
        """Return the exit status, or None if the process still runs."""
        gevent.sleep(0)  # lets the event loop report the end of the process
        return self.status

    def wait(self, seconds: float) -> int | None:
        """Wait up to ``seconds``; return the exit status, or None if it still runs."""
        with gevent.Timeout(seconds, False):
            while self.poll() is None:
                gevent.sleep(POLL_INTERVAL_SECONDS)
        return self.status

    def read_output(self) -> str:
        """Return what the process has written to its output file."""
        return self.output.read_text(encoding="utf-8", errors="replace")

    def read_first_line(self, seconds: float) -> str:
        """Wait for the first line of output and return it.

        Raises TimeoutError if the process ends or ``seconds`` pass before that.
        """
        with gevent.Timeout(seconds, False):
            while "\n" not in self.read_output() and self.poll() is None:
                gevent.sleep(POLL_INTERVAL_SECONDS)
        line, end, _ = self.read_output().partition("\n")
        if not end:
            raise TimeoutError(
                f"process {self.pid} wrote no line of output (exit {self.status})"
            )
        return line


def run_command(
    command: list[str], env: dict[str, str], seconds: float
) -> subprocess.CompletedProcess:
    """Run a program to its end; return its exit status, output and errors.

    Kills it after ``seconds`` and raises subprocess.TimeoutExpired.
    """
    with tempfile.TemporaryDirectory(prefix="rattanwick-command-") as name:
        output, errors = Path(name, "output"), Path(name, "errors")
        process = SpawnedProcess(command, env, output, errors)
        status = process.wait(seconds)
        if status is None:
            process.kill()
            process.wait(seconds)
            raise subprocess.TimeoutExpired(command, seconds)
        return subprocess.CompletedProcess(
            command, status, output.read_text("utf-8"), errors.read_text("utf-8")
        )
