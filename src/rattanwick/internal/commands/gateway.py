"""Command ``gateway``: run a node on the users' platform, or check its settings."""

import argparse
import sys

from rattanwick.internal.base.ini import SettingsError
from rattanwick.internal.commands.exit_status import EXIT_INVALID_INPUT
from rattanwick.platform.node_file import load_node_file, node_file_path


def add_gateway_command(commands) -> None:
    """Add ``gateway`` to the command line."""
    parser = commands.add_parser("gateway", help="run a node on the users' platform")
    _add_options(parser)
    parser.set_defaults(run=run_gateway)


def main(arguments: list[str] | None = None) -> int:
    """Run this command as a program of its own and return its exit status."""
    parser = argparse.ArgumentParser(prog="rattanwick gateway")
    _add_options(parser)
    return run_gateway(parser.parse_args(arguments))


def _add_options(parser: argparse.ArgumentParser) -> None:
    parser.add_argument(
        "--node-file",
        default=node_file_path(),
        metavar="NODE.toml",
        help="settings file (default: the path that the platform gives)",
    )
    parser.add_argument(
        "--check", action="store_true", help="check the settings file and exit"
    )


def run_gateway(args: argparse.Namespace) -> int:
    """Serve until the platform stops the process; return 2 for invalid settings."""
    try:
        settings = load_node_file(args.node_file)
    except SettingsError as exc:
        print(exc, file=sys.stderr)
        return EXIT_INVALID_INPUT
    if args.check:
        print(f"{args.node_file}: no problems")
        return 0
    # Imported here, so that --check does not wait for the imports of a node.
    from rattanwick.platform.serve import serve_on_platform

    serve_on_platform(settings)
    return 0
