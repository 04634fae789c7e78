"""JSON logs: short sentences with a fixed prefix for each part."""

import logging
import sys
from typing import TextIO

from pythonjsonlogger.json import JsonFormatter

ROOT_NAME = "rattanwick"


class ComponentLogAdapter(logging.LoggerAdapter):
    """Put the prefix of a part before each message."""

    def process(self, msg, kwargs):
        """Return the message with its prefix and the fields of the call."""
        kwargs["extra"] = {**self.extra, **kwargs.get("extra", {})}
        return f"{self.extra['part']}: {msg}", kwargs


def get_logger(part: str) -> ComponentLogAdapter:
    """Return the logger of a part."""
    logger = logging.getLogger(f"{ROOT_NAME}.{part}")
    return ComponentLogAdapter(logger, {"part": part})


def configure_logs(level: str, node_id: str = "", stream: TextIO | None = None) -> None:
    """Write JSON lines to standard error or ``stream``."""
    handler = logging.StreamHandler(stream or sys.stderr)
    handler.setFormatter(
        JsonFormatter(
            ["asctime", "levelname", "message", "part"],
            rename_fields={"asctime": "time", "levelname": "level"},
            static_fields={"node": node_id} if node_id else {},
        )
    )
    set_log_handler(handler, level)


def set_log_handler(handler: logging.Handler, level: str) -> None:
    """Send the log of all parts to one handler."""
    root = logging.getLogger(ROOT_NAME)
    root.handlers = [handler]
    root.setLevel(level)
    root.propagate = False
