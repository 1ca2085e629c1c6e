"""Which routers of a fleet count as responsive, in virtual time."""

from __future__ import annotations

import random
import unittest
from typing import cast

import anyio

from endivegw.allowances import AllowanceOptions
from endivegw_standins.linked_world import LinkedRouter, LinkedWorld
from endivegw_standins.virtual_time import VirtualLoop

#: Minimum share of running routers that count as responsive at any time.
MIN_RESPONSIVE_SHARE = 0.99

#: Maximum time until a terminated router no longer counts as responsive.
MAX_DETECTION_S = 5.0


async def simulate_fleet(routers: int, loss: float) -> tuple[float, int]:
    """Run a fleet, then kill a router.

    :returns: the lowest share of running peers that counted as responsive, and how many
        routers still count the killed one as responsive after a while.
    """
    vms = tuple(f"vm-{number:03}" for number in range(routers))
    shares: list[float] = []
    async with anyio.create_task_group() as tasks:
        world = LinkedWorld(
            (),
            AllowanceOptions(spread_rows=True),
            random.Random(1),
            anyio.current_time,
            tasks,
            vms,
        )
        world.network.loss = loss
        for vm in vms:
            world.start(vm)
        await anyio.sleep(5.0)
        peers = [
            cast(LinkedRouter, router).link.peers for router in _linked_routers(world)
        ]
        for _ in range(50):
            await anyio.sleep(0.1)
            live = sum(len(table.live(anyio.current_time())) for table in peers)
            shares.append(live / (routers * (routers - 1)))
        killed = world.routers[vms[0]].instance_id
        world.kill(vms[0])
        await anyio.sleep(MAX_DETECTION_S)
        now_s = anyio.current_time()
        unaware = sum(
            any(entry.instance_id == killed for entry in table.live(now_s))
            for table in peers[1:]
        )
        tasks.cancel_scope.cancel()
    return min(shares), unaware


def _linked_routers(world: LinkedWorld) -> list[LinkedRouter]:
    return [cast(LinkedRouter, world.routers[vm]) for vm in world.vms]


class ResponsivenessTests(unittest.TestCase):
    """
    In a large fleet each router reports its figures less often. If a peer counted as
    unresponsive a fixed second after its last report, then from about fifty routers on
    some running peers would always count as unresponsive: they are not asked for
    tokens, their load at targets is not known, and a router draws more than its share
    of a budget. Callers are then refused although the tokens are there.
    """

    def responsive_share(self, routers: int, loss: float = 0.0) -> tuple[float, int]:
        """Return the result of :func:`simulate_fleet`, in virtual time."""
        virtual = {"loop_factory": VirtualLoop}
        return anyio.run(simulate_fleet, routers, loss, backend_options=virtual)

    def test_running_routers_count_as_responsive(self) -> None:
        """In fleets of any size, while a killed router is detected."""
        for routers in (4, 29, 68):
            with self.subTest(routers=routers):
                share, unaware = self.responsive_share(routers)
                self.assertGreaterEqual(share, MIN_RESPONSIVE_SHARE)
                self.assertEqual(unaware, 0)

    def test_a_lost_report_does_not_make_a_router_unresponsive(self) -> None:
        """Two in a hundred datagrams are lost."""
        for routers in (4, 29):
            with self.subTest(routers=routers):
                share, unaware = self.responsive_share(routers, loss=0.02)
                self.assertGreaterEqual(share, 0.98 * MIN_RESPONSIVE_SHARE)
                self.assertEqual(unaware, 0)


if __name__ == "__main__":
    unittest.main()
