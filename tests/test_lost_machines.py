"""Router machines that never come back, over sockets."""

from __future__ import annotations

import unittest

import anyio

from tests.platform_fleet import PREPAID, ClientFleet, platform_fleet

#: Largest prompt and output of a request, and the tokens that its engine processes.
TOKENS = (900, 100)

#: How long rows are valid here, and until another router has returned their tokens.
VALIDITY_S = 2.0
RETURNED_S = VALIDITY_S + 5.0


async def send_requests(fleet: ClientFleet, requests: int) -> list[int]:
    """Send requests to the routers in turn; return the statuses."""
    statuses = []
    for number in range(requests):
        router = number % len(fleet.ports)
        answer = await fleet.send_request("chat", router=router, tokens=TOKENS)
        statuses.append(answer.status)
    return statuses


async def exhaust_budget(fleet: ClientFleet) -> list[int]:
    """Send requests until every router refuses with 402."""
    statuses: list[int] = []
    with anyio.fail_after(60.0):
        while statuses[-2 * len(fleet.ports) :].count(402) < 2 * len(fleet.ports):
            statuses += await send_requests(fleet, len(fleet.ports))
            if statuses[-1] != 200:
                await anyio.sleep(0.2)
    return statuses


class LostMachineTests(unittest.TestCase):
    """A budget for about a hundred requests; rows are valid for two seconds."""

    # Guards against tokens that stay drawn by a router that never comes back.
    def test_the_others_use_the_tokens_of_a_lost_router(self) -> None:
        """One of four is lost; the budget is used up, then requests get 402."""
        used = anyio.run(self.lose_routers, (2,), 0)
        self.assertLessEqual(used, PREPAID)
        self.assertGreater(used, 0.9 * PREPAID)

    # Guards against a budget that is unusable after all machines were replaced.
    def test_a_fleet_on_new_machines_uses_the_remaining_budget(self) -> None:
        """All four are lost at once; three start on new machines."""
        used = anyio.run(self.lose_routers, (3, 2, 1, 0), 3)
        self.assertLessEqual(used, PREPAID)
        self.assertGreater(used, 0.6 * PREPAID)

    async def lose_routers(self, lost: tuple[int, ...], added: int) -> int:
        """Lose routers and start others; return the tokens that targets processed."""
        async with platform_fleet(routers=4, row_lasts_s=VALIDITY_S) as fleet:
            await anyio.sleep(2.0)
            self.assertEqual(set(await send_requests(fleet, 12)), {200})
            for number in lost:
                fleet.kill_router(number)
            for _ in range(added):
                fleet.start_router()
            await fleet.wait_ready()
            await anyio.sleep(RETURNED_S)
            statuses = await exhaust_budget(fleet)
            self.assertLessEqual(set(statuses), {200, 402, 503})
            return fleet.consumed_tokens()


if __name__ == "__main__":
    unittest.main()
