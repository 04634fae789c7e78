"""Messages between nodes about prompt parts that crash endpoints."""

from dataclasses import dataclass, field, replace

from msgpack import packb

from rattanwick.internal.gateway.blocked_parts import Block
from rattanwick.internal.gateway.crash_evidence import LostRequest
from rattanwick.internal.gateway.shapes import Amount, matches

MAX_BLOCK_BYTES_PER_MESSAGE = 6000  # of several blocks; one alone may be larger
MAX_ANSWERS_PER_MESSAGE = 120
# Of all requests of a crash in one message, so that it fits into a datagram.
MAX_PARTS_PER_MESSAGE = 120


@dataclass(slots=True, frozen=True)
class CrashReport:
    """Crash of an endpoint under requests of the sender."""

    endpoint_id: str
    at: float  # monotonic seconds of this node
    requests: list[LostRequest]


@dataclass(slots=True)
class PeerParts:
    """Crashes, answers and blocks that one datagram holds.

    Times are monotonic seconds of this node, and ages in the datagram.
    """

    node_id: str = ""  # of the sender; set when the datagram is encoded
    boot: int = 0  # start of the sender's process, in Unix milliseconds
    crashes: list[CrashReport] = field(default_factory=list)
    # Parts of earlier crashes that were in a request which was answered since, and the
    # time of the answer.
    answers: list[tuple[str, float]] = field(default_factory=list)
    blocks: list[Block] = field(default_factory=list)
    # Number of a request for the blocks, or of the one that this replies to; else 0.
    query: int = 0
    reply: int = 0

    def to_fields(self, now: float) -> list:
        """Return the message as lists of plain values."""
        return [
            [
                [
                    crash.endpoint_id,
                    now - crash.at,
                    [
                        [lost.organisation, list(lost.parts), now - lost.sent_at]
                        for lost in crash.requests
                    ],
                ]
                for crash in self.crashes
            ],
            [[part, now - at] for part, at in self.answers],
            [_block_fields(block, now) for block in self.blocks],
            self.query,
            self.reply,
        ]


def _block_fields(block: Block, now: float) -> list:
    return [
        block.id,
        sorted(block.parts),
        sorted(block.organisations),
        block.crashes,
        list(block.endpoints),
        list(block.nodes),
        now - block.made_at,
        now - block.used_at,
        block.trials,
        block.saved,
    ]


MESSAGE_SHAPE = (
    [(str, float, [(str, [str], float)])],
    [(str, float)],
    [
        (
            str,
            [str],
            [str],
            Amount(int),
            [str],
            [str],
            float,
            float,
            Amount(int),
            bool,
        )
    ],
    Amount(int),
    Amount(int),
)


def parts_from_fields(fields: list, now: float) -> PeerParts:
    """Return the message that ``to_fields`` returned as lists.

    Negative ages count as 0. Raises ValueError if a value has the wrong type.
    """
    if not matches(fields, MESSAGE_SHAPE):
        raise ValueError("parts: wrong shape")
    crashes, answers, blocks, query, reply = fields
    return PeerParts(
        crashes=[
            CrashReport(
                endpoint_id,
                _at(now, age),
                [
                    LostRequest(organisation, tuple(parts), _at(now, sent_age))
                    for organisation, parts, sent_age in requests
                ],
            )
            for endpoint_id, age, requests in crashes
        ],
        answers=[(part, _at(now, age)) for part, age in answers],
        blocks=[
            Block(
                id=block_id,
                parts=frozenset(parts),
                organisations=frozenset(organisations),
                crashes=count,
                endpoints=tuple(endpoints),
                nodes=tuple(nodes),
                made_at=_at(now, made_age),
                used_at=_at(now, used_age),
                trials=trials,
                saved=saved,
            )
            for (
                block_id,
                parts,
                organisations,
                count,
                endpoints,
                nodes,
                made_age,
                used_age,
                trials,
                saved,
            ) in blocks
        ],
        query=query,
        reply=reply,
    )


def _at(now: float, age: float) -> float:
    return now - max(age, 0.0)


def split_crash(report: CrashReport) -> list[CrashReport]:
    """Return reports of the same crash that each fit into a message."""
    reports, requests, count = [], [], 0
    for lost in report.requests:
        for start in range(0, len(lost.parts), MAX_PARTS_PER_MESSAGE):
            parts = lost.parts[start : start + MAX_PARTS_PER_MESSAGE]
            if requests and count + len(parts) > MAX_PARTS_PER_MESSAGE:
                reports.append(CrashReport(report.endpoint_id, report.at, requests))
                requests, count = [], 0
            requests.append(LostRequest(lost.organisation, parts, lost.sent_at))
            count += len(parts)
    if requests:
        reports.append(CrashReport(report.endpoint_id, report.at, requests))
    return reports


def split_blocks(blocks: list[Block]) -> list[list[Block]]:
    """Return the blocks in groups that each fit into a message; at least one group."""
    groups: list[list[Block]] = [[]]
    size = 0
    for block in blocks:
        needed = len(packb(_block_fields(block, 0.0)))
        if groups[-1] and size + needed > MAX_BLOCK_BYTES_PER_MESSAGE:
            groups.append([])
            size = 0
        groups[-1].append(block)
        size += needed
    return groups


def split_message(message: PeerParts) -> list[PeerParts]:
    """Return messages that each fit into a datagram and together hold this one."""
    groups = split_blocks(message.blocks)
    messages = [replace(message, blocks=groups[0], answers=[])]
    messages += [PeerParts(blocks=group) for group in groups[1:]]
    answers = message.answers
    for start in range(0, len(answers), MAX_ANSWERS_PER_MESSAGE):
        part = answers[start : start + MAX_ANSWERS_PER_MESSAGE]
        if start == 0:
            messages[0].answers = part
        else:
            messages.append(PeerParts(answers=part))
    return messages
