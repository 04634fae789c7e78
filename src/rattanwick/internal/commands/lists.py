"""Command ``lists``: check, compare, apply and show plans and allowances."""

import argparse
import getpass
import json
import sys
from datetime import UTC, datetime
from pathlib import Path

from rattanwick.internal.base.ini import SettingsError
from rattanwick.internal.commands.exit_status import EXIT_INVALID_INPUT
from rattanwick.internal.commands.operator_options import (
    EXIT_FAILED,
    EXIT_OK,
    EXIT_STALE,
    EXIT_UNCONFIRMED,
    EXIT_UNKNOWN,
    add_node_options,
    client_for,
    report_errors,
)
from rattanwick.internal.operators.client import error_text
from rattanwick.internal.state.list_format import (
    ALLOWANCES_FILE,
    PLANS_FILE,
    parse_lists,
)

LISTS_PATH = "/v1/operator/lists"


def add_lists_command(commands) -> None:
    """Add ``lists`` to the command line."""
    parser = commands.add_parser("lists", help="check and change plans and allowances")
    actions = parser.add_subparsers(dest="action", metavar="ACTION", required=True)
    check = actions.add_parser("check", help="report every problem of both files")
    _add_files(check)
    check.set_defaults(run=report_errors(run_check))
    diff = actions.add_parser("diff", help="compare files or versions")
    _add_files(diff, required=False)
    diff.add_argument("--from-version", type=int, metavar="N")
    diff.add_argument("--to-version", type=int, metavar="N")
    add_node_options(diff)
    diff.set_defaults(run=report_errors(run_diff))
    apply = actions.add_parser("apply", help="make both files the current version")
    _add_files(apply)
    apply.add_argument("--from-version", type=int, required=True, metavar="N")
    apply.add_argument("--author", default=None, help="name stored with the version")
    add_node_options(apply)
    apply.set_defaults(run=report_errors(run_apply))
    show = actions.add_parser("show", help="print the current version or another")
    show.add_argument("--version", type=int, metavar="N")
    show.add_argument("--output", metavar="DIRECTORY", help="write both files there")
    add_node_options(show)
    show.set_defaults(run=report_errors(run_show))
    history = actions.add_parser("history", help="print the newest versions")
    history.add_argument("--limit", type=int, default=20)
    add_node_options(history)
    history.set_defaults(run=report_errors(run_history))


def _add_files(parser: argparse.ArgumentParser, required: bool = True) -> None:
    parser.add_argument("--plans", required=required, metavar=PLANS_FILE)
    parser.add_argument("--allowances", required=required, metavar=ALLOWANCES_FILE)


def _read_files(args: argparse.Namespace) -> tuple[str, str]:
    plans = Path(args.plans).read_text(encoding="utf-8")
    return plans, Path(args.allowances).read_text(encoding="utf-8")


def run_check(args: argparse.Namespace) -> int:
    """Print every problem of both files; return 2 if there is any, else 0."""
    return _check_texts(*_read_files(args), print_counts=True)


def _check_texts(plans: str, allowances: str, print_counts: bool) -> int:
    """Print the problems of both files and return 2, or return 0 if there are none.

    If ``print_counts`` is set and there are no problems, print how many plans,
    organisations and allowances there are.
    """
    try:
        lists = parse_lists(plans, allowances)
    except SettingsError as exc:
        print(exc, file=sys.stderr)
        return EXIT_INVALID_INPUT
    if print_counts:
        counts = (len(lists.plans), len(lists.organisations), len(lists.allowances))
        print("{} plans, {} organisations, {} allowances; no problems".format(*counts))
    return EXIT_OK


def run_diff(args: argparse.Namespace) -> int:
    """Print the difference between two versions, or from the current one to files."""
    client = client_for(args, args.node)
    if args.from_version is not None:
        versions = {"from": args.from_version, "to": args.to_version}
        answer = client.get_json(f"{LISTS_PATH}/diff", **versions)
        print(answer["difference"])
        return EXIT_OK
    if not args.plans or not args.allowances:
        print("give --plans and --allowances, or --from-version", file=sys.stderr)
        return EXIT_INVALID_INPUT
    plans, allowances = _read_files(args)
    body = {"plans": plans, "allowances": allowances}
    status, data = client.post(f"{LISTS_PATH}/diff", body)
    if status != 200:
        print(f"status {status}: {error_text(data)}", file=sys.stderr)
        return EXIT_FAILED
    answer = json.loads(data)
    print(f"compared with version {answer['version']}")
    print(answer["difference"] or "no difference")
    return EXIT_OK


def run_apply(args: argparse.Namespace) -> int:
    """Apply both files and print whether every listed node confirmed them."""
    plans, allowances = _read_files(args)
    status = _check_texts(plans, allowances, print_counts=False)
    if status:
        return status
    body = {
        "plans": plans,
        "allowances": allowances,
        "from_version": args.from_version,
        "author": args.author or getpass.getuser(),
    }
    status, data = client_for(args, args.node).post(LISTS_PATH, body)
    try:
        answer = json.loads(data)
    except ValueError:
        answer = {}
    return _report_apply(status, answer, data)


def _report_apply(status: int, answer: dict, data: bytes) -> int:
    """Print the result of an apply and return the exit status for it."""
    result = answer.get("result")
    if result == "accepted":
        print(f"accepted: version {answer['version']} is in force at every listed node")
        return EXIT_OK
    if result == "stored":
        nodes = ", ".join(answer["unconfirmed"])
        print(f"stored as version {answer['version']}, not confirmed by: {nodes}")
        return EXIT_UNCONFIRMED
    if result == "stale":
        print(
            f"refused: version {answer['version']} by {answer['author']} is in force; "
            "the difference from it to your edit is:",
            file=sys.stderr,
        )
        print(answer["difference"], file=sys.stderr)
        return EXIT_STALE
    if result == "faulty":
        print("\n".join(answer["faults"]), file=sys.stderr)
        return EXIT_INVALID_INPUT
    if result == "unknown":
        print(f"not known whether it is stored: {answer['reason']}", file=sys.stderr)
        return EXIT_UNKNOWN
    print(f"not stored; status {status}: {error_text(data)}", file=sys.stderr)
    return EXIT_FAILED


def run_show(args: argparse.Namespace) -> int:
    """Print both files of a version, or write them to ``--output``."""
    answer = client_for(args, args.node).get_json(LISTS_PATH, version=args.version)
    texts = {PLANS_FILE: answer["plans"], ALLOWANCES_FILE: answer["allowances"]}
    print(f"# version {answer['version']} by {answer['author'] or 'nobody'}")
    for file, text in texts.items():
        if args.output:
            Path(args.output, file).write_text(text, encoding="utf-8")
        else:
            print(f"# {file}\n{text}")
    return EXIT_OK


def run_history(args: argparse.Namespace) -> int:
    """Print number, time and author of the newest versions, newest first."""
    client = client_for(args, args.node)
    for item in client.get_json(f"{LISTS_PATH}/history", limit=args.limit):
        applied_at = datetime.fromtimestamp(item["time"], UTC).isoformat(
            timespec="seconds"
        )
        print(f"{item['version']:>8}  {applied_at}  {item['author']}")
    return EXIT_OK
