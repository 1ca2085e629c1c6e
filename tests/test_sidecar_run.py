"""Coalescing of an answer's tokens into frames."""

import unittest

import anyio

from endivegw.daemons.sidecar_run import READ_BYTES, AttemptRun
from endivegw.peers._generated import endivegw_peers_pb2 as pb
from endivegw.requests.buffer import AnswerBuffer, BufferHead
from endivegw.requests.starts import StartOrder
from endivegw.types import (
    AttemptId,
    ClientAccountName,
    RequestIdentity,
    Usage,
)

TOKENS = 40


def new_run():
    order = StartOrder(
        RequestIdentity(ClientAccountName("lobby"), "key"),
        AttemptId("attempt"),
        b"digest",
        True,
        "instance",
        False,
    )
    return AttemptRun(order, AnswerBuffer(4 * READ_BYTES), 60.0)


async def read_frames(run, received):
    async for frame in run.follow(pb.Header(), 0, False):
        received.append((anyio.current_time(), frame))


def data_of(received):
    return [frame.data for _, frame in received if frame.WhichOneof("kind") == "data"]


class FrameCoalescingTests(unittest.TestCase):
    """An engine generates tokens faster than they are read.

    One frame for each token would use most of the routers' CPU time and delay
    callers.
    """

    def test_fast_tokens_share_frames(self):
        """The first token is sent at once, later ones share frames, none is lost."""

        async def job():
            run, received = new_run(), []
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(read_frames, run, received)
                await anyio.sleep(0)
                await run.append(b"0\n")
                await anyio.wait_all_tasks_blocked()
                first = list(data_of(received))
                for number in range(1, TOKENS):
                    await run.append(b"%d\n" % number)
                    await anyio.sleep(0.001)
                run.buffer.finish(Usage(1, TOKENS), "stop")
                run.ended.set()
                run.notify_changed()
            return first, received

        first, received = anyio.run(job)
        self.assertEqual(first, [b"0\n"])
        expected = b"".join(b"%d\n" % number for number in range(TOKENS))
        self.assertEqual(b"".join(data_of(received)), expected)
        self.assertLess(len(data_of(received)), TOKENS // 2)

    def test_the_end_is_not_delayed(self):
        """An answer that ends just after a frame is completed at once."""

        async def job():
            run, received = new_run(), []
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(read_frames, run, received)
                await run.append(b"0\n")
                await anyio.wait_all_tasks_blocked()
                await run.append(b"1\n")
                run.buffer.finish(Usage(1, 2), "stop")
                run.ended.set()
                run.notify_changed()
                await anyio.wait_all_tasks_blocked()
                return [frame.WhichOneof("kind") for _, frame in received]

        kinds = anyio.run(job)
        self.assertEqual(kinds, ["head", "data", "data", "end"])

    def test_bytes_of_a_service_are_not_delayed(self):
        """The bytes of a plain service are sent as they arrive."""

        async def job():
            run, received = new_run(), []
            run.buffer.head = BufferHead(200, ())
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(read_frames, run, received)
                for piece in (b"a", b"b", b"c"):
                    await run.append(piece)
                    await anyio.wait_all_tasks_blocked()
                found = data_of(received)
                run.buffer.finish(Usage(), "")
                run.ended.set()
                run.notify_changed()
            return found

        self.assertEqual(anyio.run(job), [b"a", b"b", b"c"])


if __name__ == "__main__":
    unittest.main()
