"""Measure the share of a budget lost with routers that never come back.

``python -m benchmarks.lost_routers`` runs four and twenty-nine routers in virtual time
with the production datagrams. Some are lost for good at the same moment, while the
store answers or a few seconds into an outage of the store. The share lost is what the
survivors do not get back, less the requests in progress at their largest.
"""

from __future__ import annotations

import random
import statistics

import anyio
import click

from endivegw.allowances import AllowanceOptions
from endivegw.types import ClientAccountName
from endivegw_standins.allowance_world import Load
from endivegw_standins.linked_world import LinkedWorld
from endivegw_standins.virtual_time import VirtualLoop

_ACCOUNT = ClientAccountName("hotel")
_OPTIONS = AllowanceOptions()

#: Requests per second and their largest prompt; the budget lasts for 75 s.
_REQUESTS_PER_S = 30.0
_PROMPT_TOKENS = 4000
_PREPAID_TOKENS = 5_000_000

#: Routers in all, and routers lost.
_LOSSES = ((4, 1), (4, 2), (4, 3), (4, 4), (29, 1), (29, 10), (29, 20))

#: How long the store has been away when routers are lost, and for how much longer.
_AWAY_BEFORE_S, _AWAY_AFTER_S = 4.0, 4.0


async def _lose(routers: int, lost: int, seed: int, is_away: bool) -> float:
    """Lose routers for good; return the share of the budget lost."""
    rng = random.Random(seed)
    vms = tuple(f"vm{number:02}" for number in range(routers))
    shares = tuple(rng.random() + 0.1 for _ in vms)
    load = Load(_ACCOUNT, _PREPAID_TOKENS, _REQUESTS_PER_S, shares, _PROMPT_TOKENS)
    async with anyio.create_task_group() as tasks:
        world = LinkedWorld((load,), _OPTIONS, rng, anyio.current_time, tasks, vms)
        for vm in vms:
            world.start(vm)
        await anyio.sleep(3.0)
        with anyio.move_on_after(15.0):
            await world.call(load)
        if is_away:
            world.store.cut = set(vms)
            with anyio.move_on_after(_AWAY_BEFORE_S):
                await world.call(load)
        removed = rng.sample(vms, lost)
        used_tokens = sum(
            router.allowances.ledger.of(_ACCOUNT).used_tokens
            for router in world.routers.values()
        )
        for vm in removed:
            world.kill(vm)
        await anyio.sleep(_AWAY_AFTER_S if is_away else 0.0)
        world.store.cut = set()
        if lost == routers:
            for number in range(routers):
                world.start(f"new{number:02}")
        await anyio.sleep(_OPTIONS.validity_s + 8.0)
        ledgers = [router.allowances.ledger for router in world.routers.values()]
        held_tokens = sum(ledger.of(_ACCOUNT).hand_tokens for ledger in ledgers)
        left_tokens = max(ledger.left_tokens(_ACCOUNT) for ledger in ledgers)
        tasks.cancel_scope.cancel()
    settled_tokens = held_tokens + left_tokens
    return (_PREPAID_TOKENS - settled_tokens - used_tokens) / _PREPAID_TOKENS


@click.command()
@click.option("--seeds", default=10, show_default=True, help="Runs for each line.")
@click.option("--fleet", default=0, help="Only fleets of this many routers.")
def main(seeds: int, fleet: int) -> None:
    """Print one line for each number of routers lost."""
    click.echo("routers  lost  store   mean share lost  largest")
    for routers, lost in _LOSSES:
        if fleet and routers != fleet:
            continue
        for is_away in (False, True):
            shares = [
                anyio.run(
                    _lose,
                    routers,
                    lost,
                    seed,
                    is_away,
                    backend_options={"loop_factory": VirtualLoop},
                )
                for seed in range(seeds)
            ]
            state = "away" if is_away else "answers"
            click.echo(
                f"{routers:7}  {lost:4}  {state:7} {statistics.mean(shares):15.4f}"
                f"  {max(shares):7.4f}"
            )


if __name__ == "__main__":
    main()
