"""Requests of an idle account while the store answers slowly, in virtual time."""

from __future__ import annotations

import random
import unittest

import anyio

from endivegw.allowances import AllowanceOptions, Reservation
from endivegw.results import Refused
from endivegw.types import ClientAccountName
from endivegw_standins.allowance_world import AllowanceWorld, Load
from endivegw_standins.virtual_time import VirtualLoop

ACCOUNT = ClientAccountName("hotel")
TOKENS = 2000


async def _request_until_served(answer_s: float, tries: int) -> tuple[int, bool]:
    """Retry until served; return the number of tries and whether it was served."""
    async with anyio.create_task_group() as tasks:
        load = Load(ACCOUNT, 1_000_000, 1.0, (0.25,) * 4)
        world = AllowanceWorld(
            (load,), AllowanceOptions(), random.Random(1), anyio.current_time, tasks
        )
        for vm in world.vms:
            world.start(vm)
        await anyio.sleep(5.0)
        world.store.answer_s = answer_s
        await anyio.sleep(1.0)
        outcome = (tries, False)
        for number in range(1, tries + 1):
            result = await world.routers["a"].allowances.reserve(ACCOUNT, TOKENS)
            if isinstance(result, Reservation):
                outcome = (number, True)
                break
            assert isinstance(result, Refused) and result.retry_after_s is not None
            await anyio.sleep(result.retry_after_s)
        tasks.cancel_scope.cancel()
    return outcome


class SlowStoreTests(unittest.TestCase):
    """The router holds the whole budget, but its row records no limit for it yet."""

    # Guards against a refusal although the tokens are held and the store answers.
    def test_requests_wait_for_a_slow_store(self) -> None:
        """An answer takes longer than a request waits at first."""
        self.assertEqual(self.request_until_served(0.08, 1), (1, True))

    # Guards against a refusal of a request that another write would cover sooner than
    # its caller may retry.
    def test_requests_wait_as_long_as_a_refused_caller_would(self) -> None:
        """The write in progress is answered first, then the one that covers them."""
        for answer_s in (0.2, 0.4):
            with self.subTest(answer_s=answer_s):
                self.assertEqual(self.request_until_served(answer_s, 1), (1, True))

    # Guards against a caller that retries as told and is refused each time.
    def test_a_caller_that_retries_as_told_is_served(self) -> None:
        """Answers take longer than a request can wait; the second try is served."""
        for answer_s in (0.2, 0.4, 0.8):
            with self.subTest(answer_s=answer_s):
                tries, is_served = self.request_until_served(answer_s, 2)
                self.assertTrue(is_served, tries)

    def request_until_served(self, answer_s: float, tries: int) -> tuple[int, bool]:
        """Return the result of :func:`_request_until_served`, in virtual time."""
        virtual = {"loop_factory": VirtualLoop}
        return anyio.run(
            _request_until_served, answer_s, tries, backend_options=virtual
        )


if __name__ == "__main__":
    unittest.main()
