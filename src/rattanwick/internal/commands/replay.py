"""Command ``replay``: print recorded decisions and rerun them."""

import argparse
import json
from datetime import UTC, datetime

from rattanwick.internal.commands.operator_options import (
    EXIT_FAILED,
    EXIT_OK,
    add_node_options,
    client_for,
    report_errors,
)
from rattanwick.internal.operators.client import RemoteRecordings
from rattanwick.internal.recording.replay import (
    MissingRecords,
    Replay,
    ReplayedDecision,
    ReplayFinding,
    ReplayQuery,
    load_decision_functions,
)


def add_replay_command(commands) -> None:
    """Add ``replay`` to the command line."""
    parser = commands.add_parser("replay", help="print and rerun recorded decisions")
    add_node_options(parser)
    parser.add_argument("--since", type=parse_timestamp, default=0.0, metavar="TIME")
    parser.add_argument(
        "--until", type=parse_timestamp, default=float("inf"), metavar="TIME"
    )
    parser.add_argument("--request", default="", metavar="ID")
    parser.add_argument(
        "--by-node", default="", metavar="NODE", help="only decisions of this node"
    )
    parser.add_argument(
        "--no-rerun", action="store_true", help="print decisions without rerunning them"
    )
    parser.add_argument(
        "--no-inputs", action="store_true", help="leave out the inputs of decisions"
    )
    parser.set_defaults(run=report_errors(run_replay))


def parse_timestamp(value: str) -> float:
    """Return Unix seconds from Unix seconds or an ISO 8601 time (UTC by default)."""
    try:
        return float(value)
    except ValueError:
        pass
    try:
        parsed = datetime.fromisoformat(value)
    except ValueError:
        expected = "2026-12-04T10:00:00 or Unix seconds"
        raise argparse.ArgumentTypeError(f"{value!r} is not a time; write {expected}")
    return (parsed if parsed.tzinfo else parsed.replace(tzinfo=UTC)).timestamp()


def run_replay(args: argparse.Namespace) -> int:
    """Print all findings; return 1 if a rerun differs or a record was changed."""
    query = ReplayQuery(
        args.since, args.until, args.request, args.by_node, not args.no_rerun
    )
    if query.rerun:
        load_decision_functions()
    objects = RemoteRecordings(client_for(args, args.node))
    decided = differences = missing = tampered = 0
    for finding in Replay(objects, query).run():
        print(format_finding(finding, not args.no_inputs))
        if isinstance(finding, ReplayedDecision):
            decided += 1
            differences += bool(finding.difference)
        elif isinstance(finding, MissingRecords):
            missing += 1
        else:
            tampered += 1
    print(
        f"{decided} decisions, {differences} differences, {missing} gaps, "
        f"{tampered} changed"
    )
    return EXIT_FAILED if differences or tampered else EXIT_OK


def format_finding(finding: ReplayFinding, with_inputs: bool) -> str:
    """Return the printed lines of a finding."""
    if not isinstance(finding, ReplayedDecision):
        kind = "missing" if isinstance(finding, MissingRecords) else "CHANGED"
        return f"{kind}: {finding.node}: {finding.detail}"
    record = finding.record
    time = datetime.fromtimestamp(record.time, UTC).isoformat(timespec="milliseconds")
    request = record.request_id or "-"
    choice = json.dumps(record.choice, default=str)
    lines = [
        f"{time} {finding.node} {record.kind} {request}: {choice} "
        f"because {record.reason}"
    ]
    if with_inputs:
        inputs = json.dumps(record.inputs, default=str, sort_keys=True)
        lines.append(f"    inputs {record.inputs_digest}: {inputs}")
    if finding.difference:
        lines.append(f"    DIFFERENT: {finding.difference}")
    return "\n".join(lines)
