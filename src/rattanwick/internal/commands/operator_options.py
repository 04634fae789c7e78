"""Options shared by the operators' commands."""

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
EXIT_UNCONFIRMED = 3
EXIT_STALE = 4
EXIT_UNKNOWN = 5


def node_address(value: str) -> str:
    """Read the address of a node's operator interface."""
    try:
        return url(value)
    except InvalidValue as exc:
        raise argparse.ArgumentTypeError(str(exc))


def add_node_options(parser: argparse.ArgumentParser, many: bool = False) -> None:
    """Add the address of a node and the operator's key."""
    parser.add_argument(
        "--node",
        required=True,
        type=node_address,
        action="append" if many else "store",
        metavar="http://IP:PORT",
        help="operator interface of a node" + ("; may be repeated" if many else ""),
    )
    parser.add_argument(
        "--key-file",
        default="",
        metavar="FILE",
        help=f"file with the operator's key; else the variable {OPERATOR_KEY_VARIABLE}",
    )


def client_for(args: argparse.Namespace, address: str) -> OperatorClient:
    """Return the client of a node."""
    return OperatorClient(address, read_operator_key(args.key_file))


def report_errors(run: Callable) -> Callable:
    """Print an error of the node or a file and exit with 1."""

    def run_and_report(args: argparse.Namespace) -> int:
        try:
            return run(args)
        except (StepError, OSError, UnicodeDecodeError) as exc:
            print(exc, file=sys.stderr)
            return EXIT_FAILED

    return run_and_report
