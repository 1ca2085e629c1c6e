"""Which routers of a fleet count as there, in virtual time."""

from __future__ import annotations

import random
import unittest
from typing import cast

import anyio

from endivegw.allowances import AllowanceOptions
from endivegw_standins.linked_world import LinkedRouter, LinkedWorld
from endivegw_standins.virtual_time import VirtualLoop

#: Share of the time in which a router that is well counts as heard.
LEAST_HEARD = 0.99

#: A router that is gone must not be asked for longer than this.
MOST_BELIEVED_S = 5.0


async def heard_share(routers: int, loss: float) -> tuple[float, int]:
    """Return how often peers that are well count as heard, and who still hears one
    that has been gone for a while."""
    vms = tuple(f"vm-{number:03}" for number in range(routers))
    counts: list[float] = []
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
        peers = [cast(LinkedRouter, router).link.peers for router in _all(world)]
        for _ in range(50):
            await anyio.sleep(0.1)
            live = sum(len(table.live(anyio.current_time())) for table in peers)
            counts.append(live / (routers * (routers - 1)))
        gone = world.routers[vms[0]].instance_id
        world.kill(vms[0])
        await anyio.sleep(MOST_BELIEVED_S)
        now_s = anyio.current_time()
        believers = sum(
            any(entry.instance_id == gone for entry in table.live(now_s))
            for table in peers[1:]
        )
        tasks.cancel_scope.cancel()
    return min(counts), believers


def _all(world: LinkedWorld) -> list[LinkedRouter]:
    return [cast(LinkedRouter, world.routers[vm]) for vm in world.vms]


class HeardTests(unittest.TestCase):
    """
    In a large fleet each router states its figures less often, and a peer counts as
    gone a second after its last statement. From some fifty routers on, peers that are
    well are gone at any moment: they are not asked for tokens, their load at targets is
    not known, and a router draws more of a budget than its part. Callers notice it as
    refusals while the tokens are there.
    """

    def heard(self, routers: int, loss: float = 0.0) -> tuple[float, int]:
        """Return what :func:`heard_share` does, in virtual time."""
        virtual = {"loop_factory": VirtualLoop}
        return anyio.run(heard_share, routers, loss, backend_options=virtual)

    def test_routers_that_are_well_count_as_heard(self) -> None:
        """In fleets of any size, and one that is gone is noticed."""
        for routers in (4, 29, 68):
            with self.subTest(routers=routers):
                share, believers = self.heard(routers)
                self.assertGreaterEqual(share, LEAST_HEARD)
                self.assertEqual(believers, 0)

    def test_a_lost_statement_does_not_make_a_router_seem_gone(self) -> None:
        """Two in a hundred datagrams are lost."""
        for routers in (4, 29):
            with self.subTest(routers=routers):
                share, believers = self.heard(routers, loss=0.02)
                self.assertGreaterEqual(share, 0.98 * LEAST_HEARD)
                self.assertEqual(believers, 0)


if __name__ == "__main__":
    unittest.main()
