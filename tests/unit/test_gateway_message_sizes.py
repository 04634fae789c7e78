"""Messages between nodes at their largest."""

import unittest
from dataclasses import replace

import gevent
from gevent import socket

from fakes.gateway_settings import make_settings
from rattanwick.internal.base.timers import GeventTimerService, ManualTimerService
from rattanwick.internal.gateway.blocked_parts import MAX_BLOCKS, Block
from rattanwick.internal.gateway.crash_evidence import LostRequest, shared_parts
from rattanwick.internal.gateway.grantor_choice import GrantorChoice
from rattanwick.internal.gateway.limit_exchange import MAX_UPDATES_PER_DATAGRAM
from rattanwick.internal.gateway.limit_messages import LimitUpdate, PeerLimits
from rattanwick.internal.gateway.members import Member, Members
from rattanwick.internal.gateway.message_pages import (
    encode_loads_pages,
    encode_state_pages,
)
from rattanwick.internal.gateway.model import PromptPart
from rattanwick.internal.gateway.node_state import MAX_RECENT_PLACEMENTS
from rattanwick.internal.gateway.part_messages import (
    CrashReport,
    PeerParts,
    split_blocks,
    split_crash,
    split_message,
)
from rattanwick.internal.gateway.peer_datagrams import PeerDatagrams
from rattanwick.internal.gateway.peer_exchange import PeerExchange
from rattanwick.internal.gateway.peer_messages import (
    MAX_DATAGRAM_BYTES,
    NO_LOAD,
    PeerLoads,
    PeerState,
    decode_datagram,
    encode_limits,
    encode_parts,
)
from rattanwick.platform.messages import decode_call
from tests.gateway_case import make_state, make_view

HEADER_BYTES = 16_384
ENDPOINTS = 600
ORGANISATIONS = 300
MAX_UDP_BYTES = 65_507


def largest_prompts() -> list[tuple[PromptPart, ...]]:
    """Return prompts of the largest header: many parts, long parts, one part."""
    values = (
        ",".join(f"{n:x}:1" for n in range(3000)),
        ",".join(f"{n:08x}:400" for n in range(1200)),
        ",".join(f"{n:060x}:400" for n in range(250)),
        "a" * (HEADER_BYTES - 100) + ":7,b:1",
    )
    prompts = []
    for value in values:
        headers = [
            (b"Host", b"api.example"),
            (b"X-Request-Id", b"call-1"),
            (b"X-Prompt-Prefix", value[: HEADER_BYTES - 40].encode()),
        ]
        prompts.append(decode_call(b"GET", b"/x", headers, 0.0).prompt)
    return prompts


def endpoint_id(number: int) -> str:
    """Return the id of an endpoint."""
    return f"i-endpoint-{number:010d}"


class LargestMessageTests(unittest.TestCase):
    """Guard against messages that are dropped because callers' prompts are long."""

    def setUp(self):
        self.sender = PeerExchange(
            make_state(ManualTimerService(), make_settings("n1")), []
        )

    def make_largest_state(self, prompt: tuple[PromptPart, ...]) -> PeerState:
        """Return a state in which each map and list is large."""
        parts = [[part.id, part.tokens] for part in prompt[:-1]]
        names = [f"organisation-{number:012d}" for number in range(ORGANISATIONS)]
        ids = [endpoint_id(number) for number in range(ENDPOINTS)]
        return replace(
            self.sender._own_state(0.0),
            port=7600,
            spent={name: [2.0**40, -(2.0**40)] for name in names},
            usage={window: dict.fromkeys(names, 2**40) for window in range(4)},
            loads={name: [2**31, 999, 2**31, 2**31] for name in ids},
            leaving_endpoints=[[name, 2**42] for name in ids],
            crashes=[["f" * 32, name, 9.5] for name in ids],
            placed=10**6,
            placements=[[ids[0], parts]] * MAX_RECENT_PLACEMENTS,
        )

    def check_sizes(self, datagrams: list[bytes], most: int) -> None:
        """Check that datagrams are small enough and can be decoded."""
        self.assertTrue(datagrams)
        for data in datagrams:
            self.assertLessEqual(len(data), most)
            decode_datagram(data)

    def test_states(self):
        for prompt in largest_prompts():
            state = self.make_largest_state(prompt)
            pages = encode_state_pages(state)
            self.check_sizes(pages, MAX_DATAGRAM_BYTES)
            decoded = [decode_datagram(page) for page in pages]
            self.assertEqual(
                [page.sequence for page in decoded],
                list(range(state.sequence, state.sequence + len(pages))),
            )
            for name in ("spent", "loads"):
                merged = {}
                for page in decoded:
                    merged.update(getattr(page, name))
                self.assertEqual(merged, getattr(state, name))
            usage = {}
            for page in decoded:
                for window, counts in page.usage.items():
                    usage.setdefault(window, {}).update(counts)
            self.assertEqual(usage, state.usage)
            for name in ("leaving_endpoints", "crashes"):
                joined = [item for page in decoded for item in getattr(page, name)]
                self.assertEqual(joined, getattr(state, name))

    def test_states_of_a_few_endpoints_and_organisations_need_one_datagram(self):
        """Callers' prompts alone must not lead to more datagrams."""
        for prompt in largest_prompts():
            state = replace(
                self.make_largest_state(prompt),
                spent={"org": [1.0, 1.0]},
                usage={1: {"org": 5}},
                loads={"i-1": [1, 1, 1, 1]},
                leaving_endpoints=[],
                crashes=[],
            )
            (data,) = encode_state_pages(state)
            self.check_sizes([data], MAX_DATAGRAM_BYTES)
            self.assertEqual(decode_datagram(data).spent, state.spent)

    def test_loads(self):
        for prompt in largest_prompts():
            state = self.make_largest_state(prompt)
            fields = {
                name: getattr(state, name)
                for name in PeerLoads.__slots__
                if hasattr(state, name)
            }
            pages = encode_loads_pages(PeerLoads(**fields))
            self.check_sizes(pages, MAX_DATAGRAM_BYTES)
            decoded = [decode_datagram(page) for page in pages]
            loads = {}
            for page in decoded:
                loads.update(page.loads)
            self.assertEqual(loads, state.loads)

    def test_crashes_answers_and_blocks(self):
        for prompt in largest_prompts():
            parts = shared_parts(prompt)
            lost = [LostRequest("organisation", parts, 0.0)] * 64
            reports = split_crash(CrashReport("i-1", 0.0, lost))
            messages = [PeerParts(crashes=[report]) for report in reports[:50]]
            messages += split_message(PeerParts(answers=[(p, 0.0) for p in parts]))
            self.check_sizes(
                [encode_parts("n1", 1, message, 0.0) for message in messages],
                MAX_DATAGRAM_BYTES,
            )
            block = Block(
                id="block",
                parts=frozenset(parts),
                organisations=frozenset({"organisation"}),
                crashes=5,
                endpoints=("i-1",) * 8,
                nodes=("n1",) * 8,
                made_at=0.0,
                used_at=0.0,
            )
            blocks = [replace(block, id=f"{n}") for n in range(MAX_BLOCKS)]
            groups = split_blocks(blocks)
            self.assertEqual(sum(map(len, groups)), MAX_BLOCKS)
            messages = [PeerParts(blocks=group) for group in groups[:3]]
            # A block is not divided. The receiver takes datagrams of any size.
            self.check_sizes(
                [encode_parts("n1", 1, message, 0.0) for message in messages],
                MAX_UDP_BYTES,
            )

    def test_limits(self):
        updates = [
            LimitUpdate(endpoint_id(n), 2**42, 1e9, 1e9)
            for n in range(MAX_UPDATES_PER_DATAGRAM)
        ]
        data = encode_limits("n1", 1, PeerLimits(limits=updates))
        self.check_sizes([data], MAX_DATAGRAM_BYTES)


class PagedStateTests(unittest.TestCase):
    """Guard against a state in several datagrams that is taken for a whole one."""

    def setUp(self):
        self.state = make_state(ManualTimerService(), make_settings("n2"))
        self.receiver = PeerExchange(self.state, [])
        self.receiver._datagrams.send_to = lambda *_: None  # no socket is open
        sender = make_state(ManualTimerService(), make_settings("n1"))
        self.sender = PeerExchange(sender, [])
        self.state.endpoints._views.update(
            (endpoint_id(n), make_view(endpoint_id(n))) for n in range(ENDPOINTS)
        )

    def send(self, numbers: range, lost: int | None = None) -> int:
        """Send a state with loads at some endpoints; return the number of pages."""
        loads = {endpoint_id(n): [1, 1, 1, 1] for n in numbers}
        state = replace(self.sender._own_state(0.0), port=7600, loads=loads)
        pages = self.sender._encode_state(state)
        for number, page in enumerate(pages):
            if number != lost:
                self.receiver._receive(page, ("127.0.0.1", 7600))
        return len(pages)

    def loaded(self) -> set[str]:
        """Return the endpoints at which the receiver knows a load of the sender."""
        views = self.state.endpoints.all()
        return {view.endpoint.id for view in views if "n1" in view.peers}

    def test_loads_end_once_all_pages_have_arrived(self):
        self.assertGreater(self.send(range(ENDPOINTS)), 1)
        self.assertEqual(len(self.loaded()), ENDPOINTS)
        self.send(range(100, ENDPOINTS), lost=1)
        self.assertEqual(len(self.loaded()), ENDPOINTS)
        self.send(range(100, ENDPOINTS))
        self.assertEqual(len(self.loaded()), ENDPOINTS - 100)
        self.send(range(3))
        self.assertEqual(len(self.loaded()), 3)

    def test_a_message_of_loads_follows_a_state_in_pages(self):
        """A state in pages uses up as many sequence numbers."""
        self.send(range(ENDPOINTS))
        message = self.sender._changed_loads(0.0)
        message.loads = {endpoint_id(0): NO_LOAD}
        for page in encode_loads_pages(message):
            self.receiver._receive(page, ("127.0.0.1", 7600))
        self.assertEqual(len(self.loaded()), ENDPOINTS - 1)


class LargeDatagramTests(unittest.TestCase):
    """Guard against datagrams that arrive cut, such as changes of the store."""

    def test_datagrams_arrive_whole(self):
        arrived = []
        server = PeerDatagrams(("127.0.0.1", 0), lambda data, _: arrived.append(data))
        server.start()
        self.addCleanup(server.stop)
        sent = [bytes([n]) * size for n, size in enumerate((1, 8193, 48 << 10, 65_000))]
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
            for data in sent:
                sock.sendto(data, ("127.0.0.1", server.server_port))
                gevent.sleep(0.02)
        self.assertEqual(arrived, sent)

    def test_a_datagram_that_is_too_large_is_warned_of_once(self):
        server = PeerDatagrams(("127.0.0.1", 0), lambda *_: None)
        server.start()
        self.addCleanup(server.stop)
        address = ("127.0.0.1", server.server_port)
        with self.assertLogs("rattanwick", "WARNING") as logs:
            server.send_to(b"x" * 70_000, address)
            server.send_to(b"x" * 70_000, address)
        self.assertEqual(len(logs.records), 1)


class LoneNodeTests(unittest.TestCase):
    """Guard against a node that takes itself for alone because it hears nobody."""

    def setUp(self):
        self.timers = ManualTimerService()
        self.members = Members("n1")
        self.choice = GrantorChoice("n1", self.members, self.timers)

    def list_member(self, node_id: str) -> None:
        """Add a member as a row of the store names it, not heard for long."""
        heard_at = self.timers.now() - 60.0
        self.members.put(
            Member(node_id, 1, ("127.0.0.1", 1), "127.0.0.1:2", "a", heard_at)
        )

    def share(self) -> float:
        """Return the share of a limit that this node takes."""
        self.choice.grantor_of("i-1", self.timers.now())
        return self.choice.share

    def test_it_takes_its_part_of_a_limit_while_others_are_listed(self):
        for number in range(2, 7):
            self.list_member(f"n{number}")
        self.assertAlmostEqual(self.share(), 1 / 6)

    def test_it_takes_the_whole_limit_if_nobody_is_listed(self):
        self.assertEqual(self.share(), 1.0)


class LongPromptExchangeTests(unittest.TestCase):
    """Guard against nodes that lose each other while callers send long prompts."""

    def test_nodes_stay_live_and_limits_reach_them(self):
        timers = GeventTimerService()
        self.addCleanup(timers.stop)
        first = PeerExchange(make_state(timers, make_settings("n1")), [])
        second = PeerExchange(make_state(timers, make_settings("n2")), [])
        for peers in (first, second):
            peers._datagrams.start()
            self.addCleanup(peers._datagrams.stop)
        state = first._state
        address = ("127.0.0.1", second._datagrams.server_port)
        state.members.put(Member("n2", 1, address, "127.0.0.1:2", "a", timers.now()))
        for prompt in largest_prompts():
            for _ in range(MAX_RECENT_PLACEMENTS):
                state.note_placement(make_view(), prompt)
            heard = second._state.members
            first.send_state()
            gevent.sleep(0.05)
            member = heard.get("n1")
            self.assertIsNotNone(member)
            self.assertTrue(member.is_live(timers.now()))
            before = member.last_heard_at
            gevent.sleep(0.05)
            first._datagrams.send(
                encode_loads_pages(first._changed_loads(timers.now()))[0],
                state.members.all(),
            )
            gevent.sleep(0.05)
            self.assertGreater(heard.get("n1").last_heard_at, before)
