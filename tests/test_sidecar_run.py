"""How the tokens of an answer are joined into frames."""

import unittest

import anyio

from endivegw.daemons.sidecar_run import READ_BYTES, Run
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
    return Run(order, AnswerBuffer(4 * READ_BYTES), 60.0)


async def read_frames(run, taken):
    async for frame in run.follow(pb.Header(), 0, False):
        taken.append((anyio.current_time(), frame))


def data_of(taken):
    return [frame.data for _, frame in taken if frame.WhichOneof("kind") == "data"]


class JoinedFramesTest(unittest.TestCase):
    """An engine makes tokens faster than anybody reads them.

    One frame for each would cost routers most of their time, and callers would
    wait for it.
    """

    def test_fast_tokens_share_frames(self):
        """The first token leaves at once, those after it together, none is lost."""

        async def job():
            run, taken = new_run(), []
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(read_frames, run, taken)
                await anyio.sleep(0)
                await run.append(b"0\n")
                await anyio.wait_all_tasks_blocked()
                first = list(data_of(taken))
                for number in range(1, TOKENS):
                    await run.append(b"%d\n" % number)
                    await anyio.sleep(0.001)
                run.buffer.finish(Usage(1, TOKENS), "stop")
                run.ended.set()
                run.changed()
            return first, taken

        first, taken = anyio.run(job)
        self.assertEqual(first, [b"0\n"])
        whole = b"".join(b"%d\n" % number for number in range(TOKENS))
        self.assertEqual(b"".join(data_of(taken)), whole)
        self.assertLess(len(data_of(taken)), TOKENS // 2)

    def test_the_end_waits_for_nothing(self):
        """An answer that ends just after a frame is whole at once."""

        async def job():
            run, taken = new_run(), []
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(read_frames, run, taken)
                await run.append(b"0\n")
                await anyio.wait_all_tasks_blocked()
                await run.append(b"1\n")
                run.buffer.finish(Usage(1, 2), "stop")
                run.ended.set()
                run.changed()
                await anyio.wait_all_tasks_blocked()
                return [frame.WhichOneof("kind") for _, frame in taken]

        kinds = anyio.run(job)
        self.assertEqual(kinds, ["head", "data", "data", "end"])

    def test_bytes_of_a_service_do_not_wait(self):
        """A plain service's bytes leave as they come."""

        async def job():
            run, taken = new_run(), []
            run.buffer.head = BufferHead(200, ())
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(read_frames, run, taken)
                for piece in (b"a", b"b", b"c"):
                    await run.append(piece)
                    await anyio.wait_all_tasks_blocked()
                found = data_of(taken)
                run.buffer.finish(Usage(), "")
                run.ended.set()
                run.changed()
            return found

        self.assertEqual(anyio.run(job), [b"a", b"b", b"c"])


if __name__ == "__main__":
    unittest.main()
