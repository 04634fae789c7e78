"""Division of states and loads into datagrams of bounded size.

What nodes need from each other is divided among as many datagrams as it takes.
Placements are hints: they get what is left of the last one.
"""

from collections.abc import Callable, Iterator
from dataclasses import replace

from msgpack import packb

from rattanwick.internal.base.metrics import counter
from rattanwick.internal.gateway.peer_messages import (
    MAX_DATAGRAM_BYTES,
    PeerLoads,
    PeerState,
    encode_loads,
    encode_state,
)

# The first parts of a prompt are those that most other prompts share.
MAX_PLACEMENT_PARTS = 40
# Of a page, for the lengths of its maps and lists and for larger page numbers.
FRAMING_BYTES = 64
# Fields that can be divided, the most urgent ones first. ``usage`` is a map of maps.
STATE_FIELDS = (
    "spent",
    "leaving_endpoints",
    "crashes",
    "usage",
    "loads",
    "prompt_tokens",
    "prefill_seen",
)
LOADS_FIELDS = ("spent", "leaving_endpoints", "loads")

Message = PeerState | PeerLoads

trimmed_total = counter(
    "peer_placements_trimmed",
    "Placements left out of a message to peers, or cut, for want of room",
)


def encode_state_pages(state: PeerState) -> list[bytes]:
    """Return the datagrams that hold a state.

    They take the sequence numbers from that of the state on.
    """
    data = encode_state(state)
    if len(data) <= MAX_DATAGRAM_BYTES:
        return [data]
    pages = _divide(state, STATE_FIELDS, encode_state)
    return [
        encode_state(
            replace(page, sequence=state.sequence + n, page=n, pages=len(pages))
        )
        for n, page in enumerate(pages)
    ]


def encode_loads_pages(message: PeerLoads) -> list[bytes]:
    """Return the datagrams that hold loads, numbered as those of a state are."""
    data = encode_loads(message)
    if len(data) <= MAX_DATAGRAM_BYTES:
        return [data]
    return [
        encode_loads(replace(page, sequence=message.sequence + n))
        for n, page in enumerate(_divide(message, LOADS_FIELDS, encode_loads))
    ]


def _divide(
    message: Message, fields: tuple[str, ...], encode: Callable[[Message], bytes]
) -> list[Message]:
    empty = {name: type(getattr(message, name))() for name in fields}
    blank = replace(message, **empty, placements=[])
    room = MAX_DATAGRAM_BYTES - len(encode(blank)) - FRAMING_BYTES
    pages, left = [_copy(blank, fields)], room
    for name, key, value in _items(message, fields):
        size = len(packb(key)) + len(packb(value))
        if size > left:
            pages.append(_copy(blank, fields))
            left = room
        _add(getattr(pages[-1], name), key, value)
        left -= size
    pages[-1].placements = _trim_placements(message.placements, left)
    return pages


def _copy(blank: Message, fields: tuple[str, ...]) -> Message:
    """Return a copy whose fields can be filled."""
    return replace(blank, **{name: type(getattr(blank, name))() for name in fields})


def _items(message: Message, fields: tuple[str, ...]) -> Iterator[tuple]:
    """Yield the name of a field, and a key and a value to add to it."""
    for name in fields:
        content = getattr(message, name)
        if isinstance(content, list):
            for value in content:
                yield name, None, value
        elif name == "usage":
            for window, counts in content.items():
                for organisation, count in counts.items():
                    yield name, (window, organisation), count
        else:
            for key, value in content.items():
                yield name, key, value


def _add(content: list | dict, key, value) -> None:
    if key is None:
        content.append(value)
    elif isinstance(key, tuple):
        window, organisation = key
        content.setdefault(window, {})[organisation] = value
    else:
        content[key] = value


def _trim_placements(placements: list[list], room: int) -> list[list]:
    """Return the newest placements that have room, without their last parts."""
    kept: list[list] = []
    for endpoint_id, parts in reversed(placements):
        placement = [endpoint_id, parts[:MAX_PLACEMENT_PARTS]]
        room -= len(packb(placement))
        if room < 0:
            break
        kept.append(placement)
    trimmed_total.inc(len(placements) - len(kept))
    return kept[::-1]
