"""JSON logs: each message begins with the prefix of its component."""

import logging
import sys
from typing import TextIO

from pythonjsonlogger.json import JsonFormatter

ROOT_LOGGER_NAME = "rattanwick"


class ComponentLogAdapter(logging.LoggerAdapter):
    """Logger that puts the name of its component before each message."""

    def process(self, msg, kwargs):
        """Return the prefixed message, and the call's fields with ``part`` added."""
        kwargs["extra"] = {**self.extra, **kwargs.get("extra", {})}
        return f"{self.extra['part']}: {msg}", kwargs


def get_logger(component: str) -> ComponentLogAdapter:
    """Return the logger of a component, whose name becomes the prefix."""
    logger = logging.getLogger(f"{ROOT_LOGGER_NAME}.{component}")
    return ComponentLogAdapter(logger, {"part": component})


def configure_logs(level: str, node_id: str = "", stream: TextIO | None = None) -> None:
    """Write the log as JSON lines to ``stream``, by default standard error.

    ``node_id`` is added to each line as field ``node``.
    """
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
    """Send the log of all components to ``handler`` alone, from ``level`` up."""
    root = logging.getLogger(ROOT_LOGGER_NAME)
    root.handlers = [handler]
    root.setLevel(level)
    root.propagate = False
