"""Timeouts of callers whose routers run in the same process."""

import time
import unittest

import anyio

from endivegw.dev.patience import StallAwareTimeouts

STALL_S = 0.3


class StallAwareTimeoutsTests(unittest.TestCase):
    def outcome(self, limit_s, answer_s, *, stalls):
        """Return the result of a caller whose router answers after a delay."""

        async def scenario():
            timeouts = StallAwareTimeouts()
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(timeouts.run)
                await anyio.sleep(0)
                try:
                    with timeouts.fail_after(limit_s):
                        if stalls:
                            time.sleep(STALL_S)
                        await anyio.sleep(answer_s)
                        return "answer"
                except TimeoutError:
                    return "timeout"
                finally:
                    tasks.cancel_scope.cancel()

        return anyio.run(scenario)

    def test_a_stall_of_the_process_does_not_count_as_a_timeout(self):
        """The process gets no CPU time for longer than the caller's timeout. The
        router, in the same process, cannot answer until the process continues, so
        the caller must still be waiting then."""
        self.assertEqual(self.outcome(0.25, 0.1, stalls=True), "answer")

    def test_an_unresponsive_router_causes_a_timeout(self):
        """A router never completes a request; the caller must not wait forever."""
        self.assertEqual(self.outcome(0.2, 60.0, stalls=False), "timeout")


if __name__ == "__main__":
    unittest.main()
