"""Run a node."""

import argparse
import sys

from rattanwick.internal.base.ini import SettingsError
from rattanwick.internal.base.settings import load_settings
from rattanwick.internal.commands.check import EXIT_FAULTS


def add_serve_command(commands) -> None:
    """Add ``serve`` to the command line."""
    parser = commands.add_parser("serve", help="run a node")
    parser.add_argument("--config", required=True, metavar="NODE.ini")
    parser.set_defaults(run=run_serve)


def run_serve(args: argparse.Namespace) -> int:
    """Serve until the node has drained."""
    try:
        load_settings(args.config)
    except SettingsError as exc:
        print(exc, file=sys.stderr)
        return EXIT_FAULTS
    return 0
