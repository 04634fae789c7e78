"""Options, exit statuses and errors of the commands that call a node."""

import argparse
import sys
from collections.abc import Callable

from rattanwick.internal.base.errors import StepError
from rattanwick.internal.base.setting_types import InvalidValue, url
from rattanwick.internal.operators.client import (
    OPERATOR_KEY_VARIABLE,
    OperatorClient,
    read_operator_key,
)

EXIT_OK = 0
EXIT_FAILED = 1
EXIT_UNCONFIRMED = 3  # stored, but not confirmed by all listed nodes
EXIT_STALE = 4  # the edited version is no longer the current one
EXIT_UNKNOWN = 5  # not known whether the change is stored


def parse_node_address(value: str) -> str:
    """Return the URL of an operator interface; raise ArgumentTypeError if invalid."""
    try:
        return url(value)
    except InvalidValue as exc:
        raise argparse.ArgumentTypeError(str(exc))


def add_node_options(parser: argparse.ArgumentParser, many: bool = False) -> None:
    """Add ``--node``, which may be repeated if ``many`` is set, and ``--key-file``."""
    parser.add_argument(
        "--node",
        required=True,
        type=parse_node_address,
        action="append" if many else "store",
        metavar="http://IP:PORT",
        help="operator interface of a node" + ("; may be repeated" if many else ""),
    )
    parser.add_argument(
        "--key-file",
        default="",
        metavar="FILE",
        help=f"file with the operator's key; default: variable {OPERATOR_KEY_VARIABLE}",
    )


def client_for(args: argparse.Namespace, address: str) -> OperatorClient:
    """Return a client of the node at ``address``, with the operator's key."""
    return OperatorClient(address, read_operator_key(args.key_file))


def report_errors(run: Callable) -> Callable:
    """Wrap a command: print errors of nodes and files and return exit status 1."""

    def run_and_report(args: argparse.Namespace) -> int:
        try:
            return run(args)
        except (StepError, OSError, UnicodeDecodeError) as exc:
            print(exc, file=sys.stderr)
            return EXIT_FAILED

    return run_and_report
