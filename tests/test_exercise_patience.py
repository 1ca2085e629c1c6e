"""How long callers of the exercise wait for a fleet in the same process."""

import time
import unittest

import anyio

from endivegw.dev.patience import Patience

STALL_S = 0.3


class PatienceTests(unittest.TestCase):
    def outcome(self, limit_s, answer_s, *, stalls):
        """Return what a caller met whose router answers after a time."""

        async def scenario():
            patience = Patience()
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(patience.run)
                await anyio.sleep(0)
                try:
                    with patience.fail_after(limit_s):
                        if stalls:
                            time.sleep(STALL_S)
                        await anyio.sleep(answer_s)
                        return "answer"
                except TimeoutError:
                    return "timeout"
                finally:
                    tasks.cancel_scope.cancel()

        return anyio.run(scenario)

    def test_a_stall_of_the_process_is_no_silence_of_the_router(self):
        """The machine gives the process no time for longer than the caller waits.
        The router, in the same process, could not answer meanwhile, and does when
        it runs again. The caller must still be there."""
        self.assertEqual(self.outcome(0.25, 0.1, stalls=True), "answer")

    def test_a_router_that_stays_silent_is_given_up(self):
        """A router never ends a request; its caller must not wait for ever."""
        self.assertEqual(self.outcome(0.2, 60.0, stalls=False), "timeout")


if __name__ == "__main__":
    unittest.main()
