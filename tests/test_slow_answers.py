"""Tests of slow answers of the store, over sockets."""

from __future__ import annotations

import json
import unittest

import anyio
from anyio.abc import SocketAttribute, SocketStream

from endivegw.platform.store import PlatformStore
from endivegw.results import Done, Reason, Refused

#: Time-out of the store without data, and the interval between chunks of its answer.
_STALL_TIMEOUT_S = 1.0
_CHUNK_INTERVAL_S = 0.25


class SlowStore:
    """Answer any call with a listing of one row, one chunk at a time.

    :param chunks: how many of the ten chunks of the answer are sent.
    """

    def __init__(self, chunks: int) -> None:
        self._chunks = chunks

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
                for number in range(self._chunks):
                    await anyio.sleep(_CHUNK_INTERVAL_S)
                    await stream.send(body[number * step : (number + 1) * step])
                await stream.receive()
            except (anyio.EndOfStream, anyio.BrokenResourceError):
                return


class SlowAnswerTests(unittest.TestCase):
    """
    A listing of 1,800 configured routes over a link of 10 Mbit/s that also carries the
    callers' streams takes longer than the time-out of a whole call. The time-out then
    ended each listing within its answer and restarted it from the beginning: after a
    network partition the router used an outdated configuration for nine seconds after
    its other feeds had recovered (20.9 s instead of 11.8 s), and callers got 404 on
    new routes. The time-out must only detect a connection on which no further data
    arrives.
    """

    def _list(self, chunks: int) -> object:
        """Return the result of a listing."""
        found: list[object] = []

        async def scenario() -> None:
            listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
            port = listener.extra(SocketAttribute.local_port)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(listener.serve, SlowStore(chunks).serve)
                store = PlatformStore(f"127.0.0.1:{port}")
                found.append(await store.list_rows("op", timeout_s=_STALL_TIMEOUT_S))
                await store.close()
                tasks.cancel_scope.cancel()

        anyio.run(scenario)
        return found[0]

    def test_a_slow_answer_is_read_to_its_end(self) -> None:
        """Ten chunks take two and a half times the time-out without data."""
        self.assertIsInstance(self._list(10), Done)

    def test_a_stalled_answer_times_out(self) -> None:
        """The connection stalls in the middle of the answer, without a reset."""
        ended = self._list(5)
        self.assertIsInstance(ended, Refused)
        assert isinstance(ended, Refused)
        self.assertIs(ended.reason, Reason.TIMEOUT)


if __name__ == "__main__":
    unittest.main()
