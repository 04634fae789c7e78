"""Command ``status``: print the status of nodes and where they disagree."""

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

# Paths in the status at which all nodes should report the same value, or the same
# ids.
COMMON_VALUE_PATHS = (("lists", "version"), ("lists", "digest"))
COMMON_ID_PATHS = (("members",), ("endpoints", "endpoints"))

# Fields that all nodes should report alike for a member or an endpoint.
COMMON_FIELDS = (
    (("members",), "state"),
    (("members",), "incarnation"),
    (("endpoints", "endpoints"), "leaving"),
)


def add_status_command(commands) -> None:
    """Add ``status`` to the command line."""
    parser = commands.add_parser(
        "status", help="print the status of nodes and where they disagree"
    )
    add_node_options(parser, many=True)
    parser.set_defaults(run=report_errors(run_status))


def run_status(args: argparse.Namespace) -> int:
    """Print statuses, then disagreements; return 1 if a node did not answer."""
    views: dict[str, dict] = {}
    unanswered = 0
    for address in args.node:
        try:
            client = client_for(args, address)
            views[address] = client.get_json("/v1/operator/status")
        except StepError as exc:
            print(f"{address}: no answer: {exc}", file=sys.stderr)
            unanswered += 1
            continue
        print(f"{address}:")
        print(json.dumps(views[address], indent=2, sort_keys=True))
    for line in find_inconsistencies(views):
        print(f"disagreement: {line}")
    return EXIT_FAILED if unanswered else EXIT_OK


def find_inconsistencies(views: dict[str, dict]) -> list[str]:
    """Return one line for each disagreement between nodes.

    ``views`` holds the status of each node that answered, by address.
    """
    lines = []
    for path in COMMON_VALUE_PATHS:
        values = {address: _text_at(view, path) for address, view in views.items()}
        if len(set(values.values())) > 1:
            seen = ", ".join(f"{value} at {at}" for at, value in values.items())
            lines.append(f"{'.'.join(path)}: {seen}")
    for path in COMMON_ID_PATHS:
        section = path[-1]
        seen_by = {
            address: _ids_in(_value_at(view, path)) | _own_id(view, section)
            for address, view in views.items()
        }
        all_ids = set().union(*seen_by.values()) if seen_by else set()
        for item in sorted(all_ids):
            unseen_by = [address for address, ids in seen_by.items() if item not in ids]
            if unseen_by:
                lines.append(f"{section}: {item} is not seen by {', '.join(unseen_by)}")
    return lines + _differing_fields(views) + _rival_holders(views)


def _differing_fields(views: dict[str, dict]) -> list[str]:
    """Return one line for each field that nodes report differently."""
    lines = []
    for path, field in COMMON_FIELDS:
        reported: dict[str, dict[str, object]] = {}
        for address, view in views.items():
            section = _value_at(view, path)
            for item, fields in section.items() if isinstance(section, dict) else ():
                if not isinstance(fields, dict):
                    continue  # the section holds an error message instead
                reported.setdefault(item, {})[address] = fields.get(field)
        for item, values in sorted(reported.items()):
            if len(set(values.values())) > 1:
                seen = ", ".join(f"{value} at {at}" for at, value in values.items())
                lines.append(f"{path[-1]}: {field} of {item}: {seen}")
    return lines


def _rival_holders(views: dict[str, dict]) -> list[str]:
    """Return one line for each lease that several nodes report as held by them."""
    holders: dict[str, list[str]] = {}
    for address, view in views.items():
        leases = _value_at(view, ("control", "leases"))
        for name, lease in leases.items() if isinstance(leases, dict) else ():
            if lease["held_here"]:
                number = lease["fencing_number"]
                holders.setdefault(name, []).append(f"{address} (number {number})")
    return [
        f"leases: {name} is held by {' and '.join(addresses)}"
        for name, addresses in holders.items()
        if len(addresses) > 1
    ]


def _own_id(view: dict, section: str) -> set[str]:
    """Return the id of the node itself, which its list of members leaves out."""
    node_id = _value_at(view, ("node", "id"))
    return {node_id} if section == "members" and isinstance(node_id, str) else set()


def _value_at(view: dict, path: tuple[str, ...]) -> object:
    """Return the value at a path of keys, or None if there is none."""
    value: object = view
    for name in path:
        value = value.get(name) if isinstance(value, dict) else None
    return value


def _text_at(view: dict, path: tuple[str, ...]) -> str:
    return str(_value_at(view, path))


def _ids_in(section: object) -> set[str]:
    """Return the ids in a dictionary by id, or in a list of items with ``id``."""
    if isinstance(section, dict):
        return set(section)
    if isinstance(section, list):
        return {str(item["id"]) for item in section if "id" in item}
    return set()
