"""Record of a case, its exit status and its switch."""

import asyncio
import os
import sys
import time
from pathlib import Path

HELD, BROKEN, NOT_RUN = 0, 1, 2


class CannotRun(Exception):
    """The case could not be played."""


class Record:
    """The file ``record.txt`` of a case."""

    def __init__(self, folder: Path):
        self.started = time.monotonic()
        self._path = folder / "record.txt"
        self._path.write_text("", encoding="utf-8")

    def now(self) -> float:
        """Return the seconds since the start of the case."""
        return time.monotonic() - self.started

    def write(self, text: str) -> None:
        """Write a line with the present time."""
        with self._path.open("a", encoding="utf-8") as file:
            file.write(f"{self.now():8.3f} {text}\n")

    def say(self, text: str) -> None:
        """Write a line and print it."""
        self.write(text)
        sys.stdout.write(f"{self.now():8.3f} {text}\n")
        sys.stdout.flush()


def with_trouble() -> bool:
    """Return whether the case is played with its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


def play(case, folder: Path, seconds: float = 110.0) -> int:
    """Play a case and return the exit status.

    ``case`` is an async function that takes the record and returns whether the rule
    held.
    """
    record = Record(folder)
    record.say(f"trouble: {'yes' if with_trouble() else 'no'}")

    async def run() -> bool:
        async with asyncio.timeout(seconds):
            return await case(record)

    try:
        held = asyncio.run(run())
    except (CannotRun, TimeoutError) as exc:
        record.say(f"the case could not be played: {type(exc).__name__} {exc}")
        return NOT_RUN
    record.say("the rule held" if held else "the rule was broken")
    return HELD if held else BROKEN
