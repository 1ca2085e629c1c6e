"""Answers of the store that come slowly, over sockets."""

from __future__ import annotations

import json
import unittest

import anyio
from anyio.abc import SocketAttribute, SocketStream

from endivegw.platform.store import PlatformStore
from endivegw.results import Done, Reason, Refused

#: How long the store may be silent, and how often a piece of its answer comes.
_SILENCE_S = 1.0
_PIECE_EVERY_S = 0.25


class DribblingStore:
    """Answer any call with a listing of one row, a piece at a time.

    :param pieces: how many pieces are sent of the ten that make the answer.
    """

    def __init__(self, pieces: int) -> None:
        self._pieces = pieces

    async def serve(self, stream: SocketStream) -> None:
        """Answer one call, then wait for the other side to close."""
        row = {"Table": "op", "Key": "config", "Value": "", "ResourceVersion": 7}
        content = {"Rows": [row], "ResourceVersion": 7, "NowMs": 1}
        body = json.dumps(content).encode()
        head = f"HTTP/1.1 200 OK\r\ncontent-length: {len(body)}\r\n\r\n".encode()
        async with stream:
            try:
                await stream.receive()
                await stream.send(head)
                step = -(-len(body) // 10)
                for number in range(self._pieces):
                    await anyio.sleep(_PIECE_EVERY_S)
                    await stream.send(body[number * step : (number + 1) * step])
                await stream.receive()
            except (anyio.EndOfStream, anyio.BrokenResourceError):
                return


class SlowAnswerTests(unittest.TestCase):
    """
    A configuration of 1,800 routes comes over a link of 10 Mbit/s that carries callers'
    streams as well, and takes longer than one answer was given in all. The feed's
    listing timed out within its answer, was made again from the start, and timed out
    again: after a cut, one router went by the configuration from before it for nine
    seconds after its other feeds were back, and its callers got 404 on new routes.
    Events 9114 showed it: "servers" and "router-addresses" regained at 11.8 s, "op" at
    20.9 s. What a time-out has to show is a connection that fell silent, and that is
    one on which no further piece comes.
    """

    def _list(self, pieces: int) -> object:
        """Return what a listing ends with."""
        found: list[object] = []

        async def play() -> None:
            listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
            port = listener.extra(SocketAttribute.local_port)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(listener.serve, DribblingStore(pieces).serve)
                store = PlatformStore(f"127.0.0.1:{port}")
                found.append(await store.list_rows("op", timeout_s=_SILENCE_S))
                await store.close()
                tasks.cancel_scope.cancel()

        anyio.run(play)
        return found[0]

    def test_an_answer_that_goes_on_coming_is_read_to_its_end(self) -> None:
        """Ten pieces take two and a half times what the store may be silent."""
        self.assertIsInstance(self._list(10), Done)

    def test_an_answer_that_stops_coming_is_given_up(self) -> None:
        """The connection falls silent in the middle of the answer, without a reset."""
        ended = self._list(5)
        self.assertIsInstance(ended, Refused)
        assert isinstance(ended, Refused)
        self.assertIs(ended.reason, Reason.TIMEOUT)


if __name__ == "__main__":
    unittest.main()
