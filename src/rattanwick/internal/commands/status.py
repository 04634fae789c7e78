"""Show what each node sees and where they disagree."""

import argparse
import json
import sys

from rattanwick.internal.base.errors import StepError
from rattanwick.internal.commands.operator_options import (
    EXIT_FAILED,
    EXIT_OK,
    add_node_options,
    client_for,
    reports_errors,
)

# Parts whose values all nodes are expected to share.
SHARED_PATHS = (("lists", "version"), ("lists", "digest"))
SHARED_SETS = ("members", "endpoints")


def add_status_command(commands) -> None:
    """Add ``status`` to the command line."""
    parser = commands.add_parser("status", help="ask nodes for their view")
    add_node_options(parser, many=True)
    parser.set_defaults(run=reports_errors(run_status))


def run_status(args: argparse.Namespace) -> int:
    """Print each node's view, then what differs; 1 when a node did not answer."""
    views: dict[str, dict] = {}
    silent = 0
    for address in args.node:
        try:
            client = client_for(args, address)
            views[address] = client.get_json("/v1/operator/status")
        except StepError as exc:
            print(f"{address}: no answer: {exc}", file=sys.stderr)
            silent += 1
            continue
        print(f"{address}:")
        print(json.dumps(views[address], indent=2, sort_keys=True))
    for line in find_disagreements(views):
        print(f"disagreement: {line}")
    return EXIT_FAILED if silent else EXIT_OK


def find_disagreements(views: dict[str, dict]) -> list[str]:
    """Return one line for each value that nodes see differently."""
    lines = []
    for path in SHARED_PATHS:
        values = {address: _value_at(view, path) for address, view in views.items()}
        if len(set(values.values())) > 1:
            seen = ", ".join(f"{value} at {at}" for at, value in values.items())
            lines.append(f"{'.'.join(path)}: {seen}")
    for part in SHARED_SETS:
        seen_by = {address: _ids_in(view.get(part)) for address, view in views.items()}
        everything = set().union(*seen_by.values()) if seen_by else set()
        for item in sorted(everything):
            without = [address for address, ids in seen_by.items() if item not in ids]
            if without:
                lines.append(f"{part}: {item} is not seen by {', '.join(without)}")
    return lines


def _value_at(view: dict, path: tuple[str, ...]) -> str:
    value: object = view
    for name in path:
        value = value.get(name) if isinstance(value, dict) else None
    return str(value)


def _ids_in(part: object) -> set[str]:
    """Return the ids of a map by id or of a list of maps with ``id``."""
    if isinstance(part, dict):
        return set(part)
    if isinstance(part, list):
        return {str(item["id"]) for item in part if "id" in item}
    return set()
