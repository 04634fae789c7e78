"""Events reach a caller once and in order, however their bytes are cut."""

import re
import time
import unittest

from hypothesis import given, settings, strategies as st

from rattanwick.internal.base.event_stream import EventLineReader, LineTooLong
from rattanwick.internal.gateway.event_sequence import EventSequence
from rattanwick.internal.gateway.stream_events import MAX_EVENT_BYTES, EventSplitter

LINE_ENDS = st.sampled_from((b"\n", b"\r\n", b"\r"))
LINES = st.one_of(
    st.sampled_from(
        (
            b"",
            b"id",
            b"id:",
            b"id: 7",
            b"id:8",
            b"id:  9",
            b"id: 1\x002",
            b"idea: 3",
            b"data",
            b"data: paid: 18.00",
            b"data:id: 4",
            b"database: 5",
            b": id: 6",
            b":",
            b"event: id",
            b"retry: 10",
            b" id: 11",
        )
    ),
    st.binary(max_size=12).map(lambda b: re.sub(rb"[\r\n]", b"", b)),
)
STREAMS = st.tuples(
    st.booleans(), st.lists(st.tuples(LINES, LINE_ENDS), max_size=24)
).map(
    lambda s: (
        (b"\xef\xbb\xbf" if s[0] else b"") + b"".join(line + end for line, end in s[1])
    )
)
TEXTS = st.sampled_from((b"paid: 18.00", b"grid:\ndata: id: 3", b"x", b""))


def cut(data: bytes, sizes: list[int]):
    """Yield pieces of these sizes, then the rest."""
    at = 0
    for size in sizes:
        yield data[at : at + size]
        at += size
    yield data[at:]


def normalize_line_ends(data: bytes) -> bytes:
    """Return data whose lines all end with a line feed."""
    return re.sub(rb"\r\n|\r", b"\n", data)


def parse_whole(data: bytes) -> tuple[int, str | None]:
    """Return the number of events and the id to resume from, by the HTML standard."""
    lines = re.split(rb"\r\n|\r|\n", data.removeprefix(b"\xef\xbb\xbf"))[:-1]
    events, resume_id, has_data, ids = 0, "", False, []
    for line in lines:
        name, _, value = line.partition(b":")
        if name == b"data":
            has_data = True
        if name == b"id" and b"\0" not in value:
            ids.append(value.removeprefix(b" ").decode("latin-1"))
        if line:
            continue
        events += has_data
        if has_data or ids:
            found = ids[-1] if ids else ""
            sound = found and found == found.strip() and found.isprintable()
            resume_id = found if sound else None
        has_data, ids = False, []
    return events, resume_id


class EventSplitterTests(unittest.TestCase):
    """Guard against streams that resume from another event than the last one sent."""

    @settings(max_examples=300, deadline=None)
    @given(STREAMS, st.lists(st.integers(0, 9), max_size=40))
    def test_cuts_change_neither_events_nor_ids(self, data, sizes):
        sequence = EventSequence()
        splitter = EventSplitter(sequence)
        sent = b"".join(splitter.feed(piece) for piece in cut(data, sizes))
        self.assertEqual(sent + splitter.partial, data)
        events, resume_id = parse_whole(data)
        self.assertEqual(sequence.events, events)
        if resume_id is None or resume_id.isascii():
            self.assertEqual(sequence.resume_id, resume_id)

    def test_an_event_is_sent_before_the_line_feed_of_a_cut_line_end(self):
        """A caller would wait for the event until the next one came."""
        sequence = EventSequence()
        splitter = EventSplitter(sequence)
        self.assertEqual(splitter.feed(b"id: 1\r"), b"")
        self.assertEqual(splitter.feed(b"\ndata: x\r\n\r"), b"id: 1\r\ndata: x\r\n\r")
        self.assertEqual(splitter.feed(b"\n"), b"\n")
        self.assertEqual(splitter.partial, b"")
        self.assertEqual(sequence.resume_id, "1")

    def test_events_without_an_own_id_cannot_be_resumed_from(self):
        for tail in (b"data: x\n\n", b"id\ndata: x\n\n", b"id: \x01\ndata: x\n\n"):
            with self.subTest(tail=tail):
                sequence = EventSequence()
                EventSplitter(sequence).feed(b"id: 1\ndata: x\n\n" + tail)
                self.assertIsNone(sequence.resume_id)

    def test_a_comment_leaves_the_id(self):
        sequence = EventSequence()
        EventSplitter(sequence).feed(b"id: 1\ndata: x\n\n: id: 2\n\n")
        self.assertEqual(sequence.resume_id, "1")

    def test_the_byte_order_mark_of_a_resumed_run_is_not_forwarded(self):
        sequence = EventSequence()
        EventSplitter(sequence).feed(b"\xef\xbb\xbfid: 1\ndata: x\n\n")
        resumed = EventSplitter(sequence, resumes=True)
        data = b"\xef\xbb\xbfid: 2\ndata: x\n\n"
        sent = b"".join(resumed.feed(data[n : n + 1]) for n in range(len(data)))
        self.assertEqual(sent, data[3:])

    def test_work_grows_with_the_bytes_of_an_event(self):
        """One event in pieces of eight bytes took a processor for seconds."""
        for piece in (b"x" * 8, b"id:1\n:xy", b"data:x\r\n"):
            with self.subTest(piece=piece):
                splitter = EventSplitter(EventSequence())
                started = time.process_time()
                for _ in range(MAX_EVENT_BYTES // len(piece)):
                    splitter.feed(piece)
                self.assertLess(time.process_time() - started, 2.0)
                with self.assertRaises(ValueError):
                    splitter.feed(piece)


class ResumedSequenceTests(unittest.TestCase):
    """Guard against events that a caller gets twice, or never, after crashes."""

    @settings(max_examples=300, deadline=None)
    @given(
        st.lists(TEXTS, min_size=1, max_size=8),
        st.lists(st.tuples(st.integers(0, 200), st.integers(-2, 2)), max_size=6),
        LINE_ENDS,
        st.integers(1, 7),
        st.booleans(),
    )
    def test_crashes_repeat_and_skip_nothing(self, texts, crashes, end, size, has_ids):
        """Each run ends after some bytes; some resume too early or too late."""
        events = [
            (b"id: %d\n" % n if has_ids else b"") + b"data: " + text + b"\n\n"
            for n, text in enumerate(texts, 1)
        ]
        events = [event.replace(b"\n", end) for event in events]
        sequence, sent, complete = EventSequence(), b"", False
        for length, shift in [*crashes, (None, 0)]:
            if sequence.resume_id is None:
                break
            first = int(sequence.resume_id or 0)
            if sequence.events >= 3:  # a gap shows once the increments are known
                first = max(first + shift, 0)
            elif sequence.events:
                first = max(first + min(shift, 0), 0)
            run = b"".join(events[first:])
            splitter = EventSplitter(sequence, resumes=bool(sent))
            data = run if length is None else run[:length]
            try:
                for at in range(0, len(data), size):
                    sent += splitter.feed(data[at : at + size])
            except ValueError:
                continue
            complete = length is None or length >= len(run)
            if complete and not splitter.partial:
                break
        # A run may end inside the line end that completes an event.
        whole = normalize_line_ends(b"".join(events))
        sent = normalize_line_ends(sent)
        self.assertTrue(whole.startswith(sent))
        if has_ids and complete and sequence.resume_id == str(len(texts)):
            self.assertEqual(sent, whole)


class EventLineReaderTests(unittest.TestCase):
    """Guard against lines that change with the cuts, and against quadratic work."""

    @settings(deadline=None)
    @given(STREAMS, st.lists(st.integers(0, 9), max_size=40))
    def test_cuts_do_not_change_lines(self, data, sizes):
        reader, lines = EventLineReader(1000), []
        for piece in cut(data, sizes):
            lines += reader.feed(piece)
        self.assertEqual(lines, re.split(rb"\r\n|\r|\n", data)[:-1])

    def test_a_long_line_in_small_pieces_is_read_in_linear_time(self):
        reader, started = EventLineReader(MAX_EVENT_BYTES), time.process_time()
        for _ in range(MAX_EVENT_BYTES // 8):
            reader.feed(b"x" * 8)
        self.assertLess(time.process_time() - started, 2.0)
        with self.assertRaises(LineTooLong):
            reader.feed(b"x")
