"""Explain what became of one request, from the logs of the nodes."""

import argparse
import sys

from rattanwick.internal.commands.exit_status import EXIT_INVALID_INPUT
from rattanwick.internal.gateway.explanation import LogLine, explain, read_lines

EXIT_NOT_FOUND = 1
HIDDEN_FIELDS = ("level", "part", "request")


def add_explain_command(commands) -> None:
    """Add ``explain`` to the command line."""
    parser = commands.add_parser(
        "explain", help="show the course and the cause of one request"
    )
    parser.add_argument("request_id", metavar="REQUEST-ID")
    parser.add_argument("logs", nargs="+", metavar="LOG", help="files of log lines")
    parser.set_defaults(run=run_explain)


def run_explain(args: argparse.Namespace) -> int:
    """Print what the logs tell, or return 1 where they do not name the request."""
    lines: list[LogLine] = []
    unread = 0
    for path in args.logs:
        try:
            with open(path, encoding="utf-8", errors="replace") as file:
                found, odd = read_lines(file)
        except OSError as exc:
            print(f"{path}: {exc.strerror}; name a readable file", file=sys.stderr)
            return EXIT_INVALID_INPUT
        lines.extend(found)
        unread += odd
    if unread:
        print(f"{unread} lines could not be read and are left out", file=sys.stderr)
    found = explain(args.request_id, lines)
    if found is None:
        print(f"request {args.request_id} is not in these logs", file=sys.stderr)
        return EXIT_NOT_FOUND
    print("course:")
    _print_lines(found.request_lines, found.request_lines[0].time)
    print("what the node believed:")
    _print_lines(found.related_lines, found.request_lines[0].time)
    print(f"cause: {found.cause}")
    return 0


def _print_lines(lines: list[LogLine], origin: float) -> None:
    """Print lines with their seconds from the first line of the request."""
    for line in lines:
        fields = " ".join(
            f"{name}={value}"
            for name, value in line.fields.items()
            if name not in HIDDEN_FIELDS and value not in (None, "")
        )
        print(f"{line.time - origin:+9.3f} s  {line.node}  {line.message}  {fields}")
