"""Entry point of the command line: the parser and its subcommands."""

# The standard library must be patched before any module imports ssl or threading.
from gevent import monkey

monkey.patch_all()

import argparse  # noqa: E402

from rattanwick import __version__  # noqa: E402
from rattanwick.internal.commands.check import add_check_command  # noqa: E402
from rattanwick.internal.commands.explain import add_explain_command  # noqa: E402
from rattanwick.internal.commands.gateway import add_gateway_command  # noqa: E402
from rattanwick.internal.commands.lists import add_lists_command  # noqa: E402
from rattanwick.internal.commands.replay import add_replay_command  # noqa: E402
from rattanwick.internal.commands.serve import add_serve_command  # noqa: E402
from rattanwick.internal.commands.status import add_status_command  # noqa: E402

EXIT_OK = 0


def build_parser() -> argparse.ArgumentParser:
    """Return the parser with all subcommands."""
    parser = argparse.ArgumentParser(
        prog="rattanwick",
        description="Serve language-model and application requests on reclaimable "
        "instances.",
    )
    parser.add_argument(
        "--version", action="version", version=f"rattanwick {__version__}"
    )
    commands = parser.add_subparsers(dest="command", metavar="COMMAND", required=True)
    add_serve_command(commands)
    add_gateway_command(commands)
    add_check_command(commands)
    add_lists_command(commands)
    add_status_command(commands)
    add_replay_command(commands)
    add_explain_command(commands)
    return parser


def main(arguments: list[str] | None = None) -> int:
    """Run the command that ``arguments`` (by default sys.argv) name.

    Return its exit status.
    """
    args = build_parser().parse_args(arguments)
    return args.run(args)
