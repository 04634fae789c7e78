"""Command ``serve``: run a node."""

import argparse
import signal
import sys

import gevent

from rattanwick.internal.base.ini import SettingsError
from rattanwick.internal.base.log import configure_logs
from rattanwick.internal.base.settings import load_settings
from rattanwick.internal.commands.exit_status import EXIT_INVALID_INPUT


def add_serve_command(commands) -> None:
    """Add ``serve`` to the command line."""
    parser = commands.add_parser("serve", help="run a node")
    parser.add_argument("--config", required=True, metavar="NODE.ini")
    parser.set_defaults(run=run_serve)


def run_serve(args: argparse.Namespace) -> int:
    """Serve until SIGTERM or SIGINT, then drain; return 2 for invalid settings."""
    try:
        settings = load_settings(args.config)
    except SettingsError as exc:
        print(exc, file=sys.stderr)
        return EXIT_INVALID_INPUT
    configure_logs(settings.logging.level, settings.node.id)
    # Imported here, so that the other commands do not wait for the imports of a node.
    from rattanwick.internal.node import NodeRuntime

    runtime = NodeRuntime(settings)
    gevent.signal_handler(signal.SIGTERM, runtime.stop)
    gevent.signal_handler(signal.SIGINT, runtime.stop)
    runtime.run()
    return 0
