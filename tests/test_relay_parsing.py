"""Tests of parsing callers' bytes into requests and targets' bytes into events."""

from __future__ import annotations

import unittest

from endivegw.relay.admission import part_digests
from endivegw.relay.events import EventOrder, EventSplitter
from endivegw.relay.messages import CallerRequest, end_to_end
from endivegw.relay.request_parser import MalformedRequest, RequestParser
from endivegw.relay.wire import PromptPart
from endivegw.routing import CallerLimits

GOOD = b"POST /a/b?c=d HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\nabc"
CHUNKED = (
    b"POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
    b"2\r\nab\r\n1\r\nc\r\n0\r\n\r\n"
)


def parse(data: bytes, size: int = 1 << 20) -> list[object]:
    """Return what the parser yields for bytes received in chunks of a given size."""
    parser = RequestParser(CallerLimits(head_bytes=400, body_bytes=50))
    found: list[object] = []
    for start in range(0, len(data), size):
        parser.feed(data[start : start + size])
        while (request := parser.next_request(0.0)) is not None:
            found.append(request)
            if isinstance(request, MalformedRequest):
                return found
    return found


class RequestParserTests(unittest.TestCase):
    """Valid requests are parsed however they are split; others are rejected."""

    # Guards against requests that end because their next part has not yet come.
    def test_a_request_without_a_new_part_is_still_incomplete(self) -> None:
        for data in (GOOD, CHUNKED):
            parser = RequestParser(CallerLimits())
            found = []
            for start in range(len(data)):
                parser.feed(data[start : start + 1])
                found += [parser.next_request(0.0), parser.next_request(0.0)]
            requests = [request for request in found if request is not None]
            self.assertEqual([type(request) for request in requests], [CallerRequest])

    def test_requests_split_anywhere(self) -> None:
        """Two pipelined requests are parsed from received chunks of any size."""
        for size in (1, 2, 7, 1000):
            requests = parse(GOOD + CHUNKED, size)
            bodies = [r.body for r in requests if isinstance(r, CallerRequest)]
            self.assertEqual(bodies, [b"abc", b"abc"], size)

    def test_request_smuggling_is_rejected(self) -> None:
        """A caller smuggles a second request by means of ambiguous body lengths.

        Forwarded, the smuggled request would run at a target without authentication.
        """
        head = b"POST /a HTTP/1.1\r\nHost: x\r\n"
        for name, fields in {
            "two lengths": b"Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
            "equal lengths": b"Content-Length: 3\r\nContent-Length: 3\r\n\r\nabc",
            "length and chunks": b"Content-Length: 3\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
            "bare line feed": b"X: y\nContent-Length: 3\r\n\r\nabc",
            "only line feeds": b"X: y\n\nGET / HTTP/1.1\n\n",
            "blank before colon": b"Content-Length : 3\r\n\r\nabc",
            "two hosts": b"Host: y\r\n\r\n",
            "odd length": b"Content-Length: +3\r\n\r\nabc",
            "odd encoding": b"Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n",
        }.items():
            found = parse(head + fields)
            self.assertEqual(len(found), 1, name)
            self.assertIsInstance(found[0], MalformedRequest, name)

    def test_sizes_are_bounded(self) -> None:
        """A head or a body beyond its limit is rejected with the respective status."""
        head = b"POST /a HTTP/1.1\r\nHost: x\r\n"
        for data, status in (
            (head + b"X: " + b"y" * 500, 431),
            (head + b"Content-Length: 51\r\n\r\n", 413),
            (head + b"Transfer-Encoding: chunked\r\n\r\n40\r\n" + b"z" * 64, 413),
            (b"GET http://x/ HTTP/1.1\r\nHost: x\r\n\r\n", 400),
        ):
            found = parse(data)
            assert isinstance(found[-1], MalformedRequest), data
            self.assertEqual(found[-1].status, status)

    def test_hop_by_hop_fields_are_not_forwarded(self) -> None:
        """Fields that a caller lists in ``Connection`` are not forwarded."""
        fields = [(b"host", b"x"), (b"connection", b"close, x-a"), (b"x-a", b"1")]
        self.assertEqual(end_to_end(fields), [(b"host", b"x")])


class EventTests(unittest.TestCase):
    """Each event is relayed once, complete and in order."""

    def test_a_partial_event_is_held_back(self) -> None:
        """A target dies in the middle of an event.

        Had the partial event been relayed, another target's data would be appended
        to it.
        """
        splitter = EventSplitter()
        events = splitter.feed(b"id: 1\ndata: a\n\nid: 2\nda")
        self.assertEqual([event.event_id for event in events], [1])
        self.assertTrue(splitter.has_partial_event)
        events = splitter.feed(b"ta: b\n\n")
        self.assertEqual(events[0].data, b"id: 2\ndata: b\n\n")

    def test_a_resumed_stream_neither_repeats_nor_skips(self) -> None:
        """A second target resumes too early, or skips an event."""
        order = EventOrder()
        splitter = EventSplitter()
        first, second, fourth = splitter.feed(b"id: 1\n\nid: 2\n\nid: 4\n\n")
        self.assertTrue(order.accept(first))
        self.assertTrue(order.accept(second))
        self.assertIs(order.accept(first), False)
        self.assertIsNone(order.accept(fourth))


class DigestTests(unittest.TestCase):
    """The prefixes of a prompt are identified by its parts."""

    def test_shared_parts_share_digests(self) -> None:
        """Two prompts share the digests of their common prefixes and no others."""
        shared = (PromptPart("s", 600), PromptPart("t", 10))
        one = part_digests((*shared, PromptPart("a", 300)))
        two = part_digests((*shared, PromptPart("b", 300)))
        self.assertEqual(len(one), 3)
        self.assertEqual(one[:2], two[:2])
        self.assertNotEqual(one[0], one[1])
        self.assertNotEqual(one[2], two[2])
