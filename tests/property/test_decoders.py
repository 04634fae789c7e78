"""Decoders of what others write or send, and decisions with what they return.

Guards against bytes that raise anything but the error that callers of a decoder expect,
and against decoded values with which a decision fails.
"""

import copy
import json
import unittest
from dataclasses import astuple, replace

from gevent import socket
from hypothesis import HealthCheck, given, settings, strategies as st
from msgpack import ExtType, packb

from fakes.gateway_rows import MemoryRowStore
from fakes.gateway_settings import make_settings
from rattanwick.internal.base.errors import ProtocolError
from rattanwick.internal.base.timers import ManualTimerService
from rattanwick.internal.gateway.blocked_part_rows import BLOCK_TABLE, BlockRows
from rattanwick.internal.gateway.capacity import (
    ClassCount,
    ReclaimableAvailability,
    engines_needed,
    plan_capacity,
)
from rattanwick.internal.gateway.connection_pool import connection_keys
from rattanwick.internal.gateway.endpoint_limits import EndpointLimits
from rattanwick.internal.gateway.interfaces import InvalidRequest, StoredRow, Version
from rattanwick.internal.gateway.leader_row import decode_leader
from rattanwick.internal.gateway.limit_messages import LimitUpdate, PeerLimits
from rattanwick.internal.gateway.members import Members, decode_member
from rattanwick.internal.gateway.model import ForwardContext
from rattanwick.internal.gateway.peer_exchange import PeerExchange
from rattanwick.internal.gateway.peer_messages import (
    PROTOCOL_VERSION,
    DatagramKind,
    PeerLoads,
    PeerState,
    decode_datagram,
    encode_limits,
    encode_state,
)
from rattanwick.internal.gateway.placement import (
    choose_target,
    place_on_engine,
    place_on_service,
)
from rattanwick.internal.gateway.prefill import INITIAL_PREFILL_MODEL
from rattanwick.internal.gateway.rate_limits import SharedRateLimiter, cost_of
from rattanwick.platform.messages import decode_call, decode_response_head, encode_call
from rattanwick.platform.records import decode_configuration, decode_endpoint
from rattanwick.platform.store import _decode_body, _decode_page
from tests.gateway_case import make_call, make_route, make_state, make_view
from tests.odd_values import CONFIGURATION, ENTRY

FUZZ = settings(
    max_examples=150,
    deadline=None,
    derandomize=True,
    suppress_health_check=[HealthCheck.too_slow],
)
TEXTS = st.one_of(
    st.text(max_size=20),
    st.sampled_from(["", "\ud800", "a\0b", "²", "٣", "x" * 5000, "10.0.0.1:80", "/"]),
)
NUMBERS = st.one_of(
    st.integers(),
    st.floats(),
    st.sampled_from([0, -1, 2**53, 2**64, 10**400, 1e308, float("inf"), 5e-324]),
    st.booleans(),
)
JSON_VALUES = st.recursive(
    st.one_of(st.none(), NUMBERS, TEXTS),
    lambda inner: st.one_of(
        st.lists(inner, max_size=4), st.dictionaries(TEXTS, inner, max_size=4)
    ),
    max_leaves=8,
)
SMALL_INTEGERS = st.integers(-(2**63), 2**64 - 1)
PACKED_VALUES = st.recursive(
    st.one_of(
        st.none(),
        st.booleans(),
        SMALL_INTEGERS,
        st.floats(),
        st.binary(max_size=10),
        st.text(max_size=10),
        st.builds(ExtType, st.integers(0, 127), st.binary(max_size=9)),
    ),
    lambda inner: st.one_of(
        st.lists(inner, max_size=4), st.dictionaries(st.text(max_size=5), inner)
    ),
    max_leaves=8,
)
# A replaced value is mostly of a similar kind, so that the others are decoded too.
JSON_REPLACEMENTS = st.one_of(NUMBERS, NUMBERS, TEXTS, JSON_VALUES)
PACKED_REPLACEMENTS = st.one_of(st.integers(-5, 5), SMALL_INTEGERS, PACKED_VALUES)
# Amounts that pass the checks of datagrams, with those at their bounds.
AMOUNTS = st.one_of(st.integers(0, 2**53 - 1), st.sampled_from([0, 1, 2**53 - 1]))
HEADER_VALUES = st.one_of(
    st.binary(max_size=20),
    st.sampled_from([b"9" * 5000, b"1" * 9, b"timeout=" + b"9" * 400, b"1,2,3,4"]),
    st.lists(st.one_of(st.integers().map(str), st.floats().map(str)), max_size=5).map(
        lambda items: ",".join(items).encode()
    ),
)


@st.composite
def mutated(draw, value, replacements):
    """Return a copy of a value in which some inner values are replaced."""
    value = copy.deepcopy(value)
    for _ in range(draw(st.sampled_from((1, 1, 2)))):
        inner = value
        while True:
            keys = list(inner) if isinstance(inner, dict) else list(range(len(inner)))
            if not keys:
                break
            key = draw(st.sampled_from(keys))
            if isinstance(inner[key], (dict, list)) and draw(st.integers(0, 9)):
                inner = inner[key]
                continue
            inner[key] = draw(replacements)
            break
    return value


def encode_json(value) -> bytes:
    """Return a value as JSON, in which half of a surrogate pair is escaped."""
    return json.dumps(value).encode()


class RowDecoderTests(unittest.TestCase):
    @FUZZ
    @given(
        st.one_of(st.just("i-1"), TEXTS),
        st.one_of(
            st.binary(max_size=60),
            JSON_VALUES.map(encode_json),
            mutated(ENTRY, JSON_REPLACEMENTS).map(encode_json),
        ),
    )
    def test_an_endpoint_can_be_used_or_its_entry_is_malformed(self, key, value):
        try:
            endpoint = decode_endpoint(key, value)
        except ValueError as exc:
            self.assertLess(len(str(exc)), 300)
            return
        host, port = endpoint.host_port
        socket.inet_aton(host)
        self.assertIn(port, range(1, 65_536))
        connection_keys([endpoint])
        views = [make_view("other", "plain"), make_view("odd", "plain")]
        views[1].endpoint = endpoint
        views[1].running = 3
        place_on_service(make_route(), views, "a", 1.0)
        model = INITIAL_PREFILL_MODEL
        place_on_engine(make_call(), make_route(), views, "a", model, 0.1, 1.0)
        ctx = ForwardContext(endpoint.id, "org", 1.0, 3, "")
        encode_call(make_call(), ctx)
        update = LimitUpdate(endpoint.id, endpoint.born_ms, 2.0, 0.1)
        data = encode_limits("n1", 1, PeerLimits(limits=[update]))
        self.assertEqual(decode_datagram(data).limits, [update])

    @FUZZ
    @given(
        st.one_of(
            st.binary(max_size=60),
            JSON_VALUES.map(encode_json),
            mutated(CONFIGURATION, JSON_REPLACEMENTS).map(encode_json),
            mutated(CONFIGURATION, TEXTS).map(encode_json),
            mutated(CONFIGURATION, NUMBERS).map(encode_json),
        )
    )
    def test_a_configuration_can_be_used_or_is_malformed(self, value):
        try:
            cfg = decode_configuration(value)
        except ValueError as exc:
            self.assertLess(len(str(exc)), 300)
            return
        packb(cfg.version)
        limiter = SharedRateLimiter(True, 100.0)
        limiter.configure(cfg.organisations, 1.0)
        for org in cfg.organisations:
            limiter.admit(org.name, cost_of(org, make_call()), 2.0)
            limiter.refund(org.name, 1.0)
            cfg.organisation_of(next(iter(org.keys), ""))
            encode_call(make_call(), ForwardContext("i-1", org.name, 1.0, 3, ""))
        packb(limiter.spent(1e6))
        sock = socket.socket()
        self.addCleanup(sock.close)
        for seconds in (cfg.limits.header_seconds, cfg.limits.idle_seconds):
            sock.settimeout(seconds)
        for route in cfg.routes:
            cfg.find_route(route.host, "/x")
            sock.settimeout(route.timeout)
            service = cfg.services.get(choose_target(route.targets, "call"))
            place_on_service(route, [make_view()], "a", 1.0)
            packb(service.name if service else "")
        for service in cfg.services.values():
            if service.scaling is not None:
                counts = [ClassCount("a", True, 3)]
                availability = ReclaimableAvailability()
                plan_capacity(30, service.scaling, counts, availability, 1.0)

    @FUZZ
    @given(
        st.one_of(
            st.binary(max_size=60),
            JSON_VALUES.map(encode_json),
            mutated(
                {"rows": [{"key": "k", "value": "YQ==", "ver": 3}], "ver": 5},
                JSON_REPLACEMENTS,
            ).map(encode_json),
        )
    )
    def test_a_page_has_usable_rows_or_is_malformed(self, body):
        response = type("Response", (), {"body": body})
        try:
            page = _decode_page(_decode_body(response), 1)
        except ProtocolError:
            return
        packb([page.version, [astuple(row) for row in page.rows]])
        for row in page.rows:
            self.assertLessEqual(row.version, page.version)
            self.assertIn(type(row.value), (bytes, type(None)))

    @FUZZ
    @given(
        st.one_of(
            st.binary(max_size=60),
            PACKED_VALUES.map(packb),
            mutated([1, "10.0.0.1", 7600, "10.0.0.1:80", "a"], PACKED_REPLACEMENTS).map(
                packb
            ),
            mutated(["n1", 1, 5], PACKED_REPLACEMENTS).map(packb),
            mutated(
                [["x"], ["o"], 3, ["i"], ["n"], 1.0, 1.0, 0], PACKED_REPLACEMENTS
            ).map(packb),
        )
    )
    def test_a_row_of_the_nodes_can_be_used_or_is_malformed(self, value):
        try:
            host, port = decode_member("n2", value, 1.0).address
            socket.inet_aton(host)
            self.assertIn(port, range(1, 65_536))
        except ValueError:
            pass
        try:
            packb(decode_leader(StoredRow("holder", value, Version(1, 1))).fence + 1)
        except ValueError:
            pass
        state, store = make_state(), MemoryRowStore()
        store.set_row(BLOCK_TABLE, "b", value)
        rows = BlockRows(state, store)
        rows.load()
        rows.step()
        state.timers.advance(40.0)
        rows.step()


class HeaderTests(unittest.TestCase):
    @FUZZ
    @given(
        st.lists(
            st.tuples(
                st.sampled_from(
                    [
                        b"X-Worker-Load",
                        b"Keep-Alive",
                        b"Server-Limit",
                        b"X-Request-Id",
                        b"X-Not-Run",
                        b"Connection",
                    ]
                ),
                HEADER_VALUES,
            ),
            max_size=6,
        )
    )
    def test_any_response_head_is_decoded_and_used(self, headers):
        head = decode_response_head(200, headers)
        views = [make_view("i-1"), make_view("i-2")]
        views[1].load = head.load
        views[1].running = 5
        place_on_service(make_route(), views, "a", 1.0)
        members, timers = Members("n1"), ManualTimerService()
        limits = EndpointLimits("n1", members, timers, clock=timers.now)
        for _ in range(3):
            limits.note_response(views[1], head)
            if limits.rate_of(views[1].endpoint) is not None:
                limits.request_permits(views[1].endpoint)
            limits.access(views[1].endpoint)
            timers.advance(1.0)
        packb([astuple(update) for update in limits.granted_limits()])

    @FUZZ
    @given(
        st.lists(
            st.tuples(
                st.sampled_from(
                    [
                        b"X-Request-Id",
                        b"X-Deadline-Ms",
                        b"X-Token-Counts",
                        b"X-Prompt-Prefix",
                        b"X-Length-Hint",
                        b"X-Api-Key",
                        b"Last-Event-Id",
                        b"Host",
                        b"Connection",
                    ]
                ),
                HEADER_VALUES,
            ),
            max_size=9,
        )
    )
    def test_a_call_can_be_placed_or_is_refused(self, headers):
        headers = [*headers, (b"X-Request-Id", b"c-1")]
        try:
            call = decode_call(b"POST", b"/a/x", headers, 0.0)
        except InvalidRequest as exc:
            self.assertEqual(exc.status, 400)
            return
        choose_target(make_route().targets, call.id)
        view = make_view()
        place_on_engine(
            call, make_route(), [view], "a", INITIAL_PREFILL_MODEL, 0.1, 1.0
        )
        view.note_cached(call.prompt)


class DatagramTests(unittest.TestCase):
    @FUZZ
    @given(
        st.one_of(
            st.binary(max_size=100),
            PACKED_VALUES.map(packb),
            st.tuples(
                st.just(PROTOCOL_VERSION),
                st.sampled_from(DatagramKind),
                PACKED_VALUES,
                PACKED_VALUES,
                PACKED_VALUES,
            ).map(packb),
        )
    )
    def test_a_datagram_is_decoded_or_malformed(self, data):
        try:
            decode_datagram(data)
        except ValueError:
            pass

    @FUZZ
    @given(st.data())
    def test_a_node_goes_on_after_any_state_that_it_accepts(self, data):
        state = make_state(ManualTimerService(), make_settings("n1"))
        state.timers.advance(5.0)
        peers = PeerExchange(state, [])
        state.endpoints._views["i-1"] = make_view("i-1")
        sums = st.lists(
            st.one_of(AMOUNTS, st.floats(0, 2.0**53)), min_size=5, max_size=5
        )
        shares = st.floats(0, 1)
        fields = {
            "boot": data.draw(AMOUNTS),
            "port": data.draw(st.integers(-1, 70_000)),
            "cores": data.draw(st.floats(0, 2.0**52)),
            "request_rate": data.draw(st.floats(0, 2.0**52)),
            "fence": data.draw(AMOUNTS),
            "versions": {"servers": data.draw(AMOUNTS)},
            "spent": {"org": [data.draw(st.floats(-(2.0**52), 2.0**52)), 1.0]},
            "usage": {data.draw(st.integers(-(2**52), 2**52)): {"org": 5}},
            "loads": {"i-1": [data.draw(AMOUNTS) for _ in range(4)]},
            "prompt_tokens": {"engine": data.draw(AMOUNTS)},
            "prefill_seen": {"engine": [*data.draw(sums), data.draw(shares)]},
            "crashes": [["f", "i-1", data.draw(st.floats(0, 2.0**52))]],
            "placed": data.draw(AMOUNTS),
            "placements": [["i-1", [["p", data.draw(AMOUNTS)]]]],
        }
        message = replace(
            PeerExchange(
                make_state(ManualTimerService(), make_settings("n2")), []
            )._own_state(0.0),
            **fields,
        )
        peers._receive(encode_state(message), ("127.0.0.1", 7600))
        now = state.timers.now()
        model = state.prefill_estimator.for_service("engine")
        views = state.endpoints.all()
        place_on_engine(make_call(), make_route(), views, "a", model, 0.1, now)
        place_on_service(make_route(), views, "a", now)
        state.update_role(now)
        state.note_prompt("engine", 500, 0.5)
        state.usage.total(5)
        tokens = peers.peer_prompt_tokens("engine")
        utilisation = state.utilisation_targets.for_service("engine")
        engines_needed(float(tokens), model.rate, utilisation, 2)
        decode_datagram(encode_state(peers._own_state(now)))

    @FUZZ
    @given(
        st.lists(
            st.tuples(st.just("i-1"), AMOUNTS, st.one_of(st.none(), AMOUNTS), AMOUNTS),
            max_size=3,
        ),
        st.lists(st.tuples(st.just("i-1"), AMOUNTS, AMOUNTS, AMOUNTS), max_size=3),
        st.lists(
            st.tuples(st.just("i-1"), AMOUNTS, AMOUNTS, AMOUNTS, AMOUNTS), max_size=3
        ),
    )
    def test_permits_are_granted_for_any_accepted_message(
        self, updates, requests, grants
    ):
        data = packb([PROTOCOL_VERSION, 4, "n2", 1, [updates, requests, grants]])
        message = decode_datagram(data)
        timers = ManualTimerService()
        limits = EndpointLimits("n1", Members("n1"), timers, clock=timers.now)
        for _ in range(2):
            reply = limits.receive("n2", message)
            if reply is not None:
                decode_datagram(encode_limits("n1", 1, reply))
            timers.advance(1.0)

    @FUZZ
    @given(st.data())
    def test_a_message_with_other_fields_is_decoded_or_malformed(self, data):
        kind = data.draw(st.sampled_from([PeerState, PeerLoads]))
        names = kind.__slots__
        values = [data.draw(PACKED_VALUES) for _ in names]
        number = DatagramKind.STATE if kind is PeerState else DatagramKind.LOADS
        try:
            decode_datagram(packb([PROTOCOL_VERSION, number, *values]))
        except ValueError:
            pass
