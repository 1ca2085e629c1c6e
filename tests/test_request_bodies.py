"""Bodies in chunks: what is taken of the received bytes, and what is rejected."""

from __future__ import annotations

import random
import unittest

from endivegw.relay.messages import CallerRequest
from endivegw.relay.request_body import ChunkedBody, MalformedBody
from endivegw.relay.request_parser import MalformedRequest, RequestParser
from endivegw.routing import CallerLimits

_HEAD = b"POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"


def _chunked(data: bytes, sizes: list[int], trailers: bytes = b"") -> bytes:
    parts, start = [], 0
    for size in sizes:
        part = data[start : start + size]
        start += size
        if part:
            parts.append(b"%x\r\n%b\r\n" % (len(part), part))
    return b"".join(parts) + b"0\r\n" + trailers + b"\r\n"


class ChunkedBodyTests(unittest.TestCase):
    """Bodies that are split in any way."""

    # Guards against bytes of the next request taken for the body, and the reverse.
    def test_bodies_split_anywhere_end_where_they_end(self) -> None:
        for seed in range(300):
            rng = random.Random(seed)
            data = bytes(rng.choice(b"\r\n0a") for _ in range(rng.randrange(60)))
            sizes = [rng.randrange(1, 9) for _ in range(60)]
            trailers = rng.choice((b"", b"X: y\r\n", b"X: y\r\nZ: 0\r\n"))
            sent = _HEAD + _chunked(data, sizes, trailers)
            parser = RequestParser(CallerLimits())
            requests: list[object] = []
            twice = sent + sent
            start = 0
            while start < len(twice):
                end = start + rng.randrange(1, 40)
                parser.feed(twice[start:end])
                start = end
                while (found := parser.next_request(0.0)) is not None:
                    requests.append(found)
            bodies = [r.body for r in requests if isinstance(r, CallerRequest)]
            self.assertEqual(bodies, [data, data], seed)
            self.assertTrue(parser.idle, seed)

    # Guards against framing that two parsers read in different ways.
    def test_ambiguous_chunks_are_rejected(self) -> None:
        for sent in (
            b"2\nab\r\n",
            b"2\r\nab\n0\r\n\r\n",
            b"2\r\nabc\r\n",
            b"+2\r\nab\r\n",
            b"0x2\r\nab\r\n",
            b"2 \r\nab\r\n",
            b"fffffffffffffffffff\r\nab\r\n",
            b"2;a\nab\r\n0\r\n\r\n",
            b"0\r\nX: y\nZ: 0\r\n\r\n",
            b"0\r\nContent-Length: 5\r\n\r\n",
            b"0\r\nTransfer-Encoding: chunked\r\n\r\n",
            b"\r\n\r\n",
        ):
            parser = RequestParser(CallerLimits())
            parser.feed(_HEAD + sent + b"\r\n\r\n")
            self.assertIsInstance(parser.next_request(0.0), MalformedRequest, sent)

    # Guards against bytes of framing that count towards no limit.
    def test_framing_without_data_is_bounded(self) -> None:
        for first, rest in (
            (b"1;", b"x" * 1000),
            (b"0\r\n", b"X: y\r\n" * 100),
            (b"0\r\nX: ", b"y" * 1000),
            (b"1;" + b"x" * 900 + b"\r\ny\r\n", b"1;" + b"x" * 900 + b"\r\ny\r\n"),
        ):
            body = ChunkedBody(max_framing_bytes=2000)
            with self.assertRaises(MalformedBody):
                for _ in range(10):
                    body.take(bytearray(first))
                    first = rest

    # Guards against sound bodies refused for their small chunks.
    def test_a_body_of_one_byte_a_chunk_is_taken(self) -> None:
        data = bytes(random.Random(1).randbytes(20_000))
        parser = RequestParser(CallerLimits())
        parser.feed(_HEAD + _chunked(data, [1] * len(data)))
        request = parser.next_request(0.0)
        assert isinstance(request, CallerRequest)
        self.assertEqual(request.body, data)


if __name__ == "__main__":
    unittest.main()
