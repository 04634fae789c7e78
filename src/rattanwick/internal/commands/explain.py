"""Command ``explain``: show why a request ended as it did, from nodes' logs."""

import argparse
import sys

from rattanwick.internal.commands.exit_status import EXIT_INVALID_INPUT
from rattanwick.internal.gateway.explanation import LogLine, explain, read_lines

EXIT_NOT_FOUND = 1
HIDDEN_FIELDS = ("level", "part", "request")


def add_explain_command(commands) -> None:
    """Add ``explain`` to the command line."""
    parser = commands.add_parser(
        "explain", help="show the log lines of a request and the cause of its outcome"
    )
    parser.add_argument("request_id", metavar="REQUEST-ID")
    parser.add_argument("logs", nargs="+", metavar="LOG", help="files of log lines")
    parser.set_defaults(run=run_explain)


def run_explain(args: argparse.Namespace) -> int:
    """Print a request's log lines and cause; return 1 if it is not in the logs."""
    lines: list[LogLine] = []
    unreadable = 0
    for path in args.logs:
        try:
            with open(path, encoding="utf-8", errors="replace") as file:
                path_lines, invalid = read_lines(file)
        except OSError as exc:
            print(f"{path}: {exc.strerror}; name a readable file", file=sys.stderr)
            return EXIT_INVALID_INPUT
        lines.extend(path_lines)
        unreadable += invalid
    if unreadable:
        print(f"{unreadable} lines could not be read and are left out", file=sys.stderr)
    explanation = explain(args.request_id, lines)
    if explanation is None:
        print(f"request {args.request_id} is not in these logs", file=sys.stderr)
        return EXIT_NOT_FOUND
    print("course:")
    _print_lines(explanation.request_lines, explanation.request_lines[0].time)
    print("other log lines of the node:")
    _print_lines(explanation.related_lines, explanation.request_lines[0].time)
    print(f"cause: {explanation.cause}")
    return 0


def _print_lines(lines: list[LogLine], origin: float) -> None:
    """Print log lines with their time in seconds after ``origin``."""
    for line in lines:
        fields = " ".join(
            f"{name}={value}"
            for name, value in line.fields.items()
            if name not in HIDDEN_FIELDS and value not in (None, "")
        )
        print(f"{line.time - origin:+9.3f} s  {line.node}  {line.message}  {fields}")
