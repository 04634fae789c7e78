"""Command ``check``: check a settings file."""

import argparse
import sys

from rattanwick.internal.base.ini import SettingsError
from rattanwick.internal.base.settings import load_settings
from rattanwick.internal.commands.exit_status import EXIT_INVALID_INPUT


def add_check_command(commands) -> None:
    """Add ``check`` to the command line."""
    parser = commands.add_parser("check", help="check a settings file")
    parser.add_argument("--config", required=True, metavar="NODE.ini")
    parser.set_defaults(run=run_check)


def run_check(args: argparse.Namespace) -> int:
    """Print every problem of the settings file; return 2 if there is any, else 0."""
    try:
        load_settings(args.config)
    except SettingsError as exc:
        for problem in exc.problems:
            print(problem, file=sys.stderr)
        return EXIT_INVALID_INPUT
    print(f"{args.config}: no problems")
    return 0
