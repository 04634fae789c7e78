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
    report_errors,
)

# Parts whose values all nodes are expected to share.
SHARED_PATHS = (("lists", "version"), ("lists", "digest"))
SHARED_SETS = (("members",), ("endpoints", "endpoints"))

# Fields that all nodes are expected to tell alike, by member or endpoint.
SHARED_FIELDS = (
    (("members",), "state"),
    (("members",), "incarnation"),
    (("endpoints", "endpoints"), "leaving"),
)


def add_status_command(commands) -> None:
    """Add ``status`` to the command line."""
    parser = commands.add_parser("status", help="ask nodes for their view")
    add_node_options(parser, many=True)
    parser.set_defaults(run=report_errors(run_status))


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
    for line in find_inconsistencies(views):
        print(f"disagreement: {line}")
    return EXIT_FAILED if silent else EXIT_OK


def find_inconsistencies(views: dict[str, dict]) -> list[str]:
    """Return one line for each value that nodes see differently."""
    lines = []
    for path in SHARED_PATHS:
        values = {address: _value_at(view, path) for address, view in views.items()}
        if len(set(values.values())) > 1:
            seen = ", ".join(f"{value} at {at}" for at, value in values.items())
            lines.append(f"{'.'.join(path)}: {seen}")
    for path in SHARED_SETS:
        part = path[-1]
        seen_by = {
            address: _ids_in(_part_at(view, path)) | _own_id(view, part)
            for address, view in views.items()
        }
        everything = set().union(*seen_by.values()) if seen_by else set()
        for item in sorted(everything):
            without = [address for address, ids in seen_by.items() if item not in ids]
            if without:
                lines.append(f"{part}: {item} is not seen by {', '.join(without)}")
    return lines + _differing_fields(views) + _rival_holders(views)


def _differing_fields(views: dict[str, dict]) -> list[str]:
    """Return a line for each member or endpoint that nodes describe differently."""
    lines = []
    for path, field in SHARED_FIELDS:
        told: dict[str, dict[str, object]] = {}
        for address, view in views.items():
            part = _part_at(view, path)
            for item, fields in part.items() if isinstance(part, dict) else ():
                if not isinstance(fields, dict):
                    continue  # the part could not be told
                told.setdefault(item, {})[address] = fields.get(field)
        for item, values in sorted(told.items()):
            if len(set(values.values())) > 1:
                seen = ", ".join(f"{value} at {at}" for at, value in values.items())
                lines.append(f"{path[-1]}: {field} of {item}: {seen}")
    return lines


def _rival_holders(views: dict[str, dict]) -> list[str]:
    """Return a line for each lease that several nodes believe to hold."""
    holders: dict[str, list[str]] = {}
    for address, view in views.items():
        leases = _part_at(view, ("control", "leases"))
        for name, lease in leases.items() if isinstance(leases, dict) else ():
            if lease["held_here"]:
                number = lease["fencing_number"]
                holders.setdefault(name, []).append(f"{address} (number {number})")
    return [
        f"leases: {name} is held by {' and '.join(where)}"
        for name, where in holders.items()
        if len(where) > 1
    ]


def _own_id(view: dict, part: str) -> set[str]:
    """Return the id of the node itself, which its list of members leaves out."""
    node_id = _part_at(view, ("node", "id"))
    return {node_id} if part == "members" and isinstance(node_id, str) else set()


def _part_at(view: dict, path: tuple[str, ...]) -> object:
    value: object = view
    for name in path:
        value = value.get(name) if isinstance(value, dict) else None
    return value


def _value_at(view: dict, path: tuple[str, ...]) -> str:
    return str(_part_at(view, path))


def _ids_in(part: object) -> set[str]:
    """Return the ids of a map by id or of a list of maps with ``id``."""
    if isinstance(part, dict):
        return set(part)
    if isinstance(part, list):
        return {str(item["id"]) for item in part if "id" in item}
    return set()
