"""Compare ways to share prepaid budgets: refused though money was there, stranded.

``python -m benchmarks.allowances [--seeds N]`` plays a day of 50 seconds for each way
in virtual time: four routers with uneven callers, four accounts of which one becomes
hot, two cuts of all routers from the store, one kill, and a kill of all routers. The
all-knowing counter is the measure: what it refuses is refused by all.
"""

from __future__ import annotations

import random

import anyio
import attrs
import click

from endivegw.allowances import AllowanceOptions
from endivegw.allowances.funds import Growth
from endivegw.types import ClientAccountName
from endivegw_standins.allowance_world import AllowanceWorld, Load, Outcome
from endivegw_standins.virtual_time import VirtualLoop

_DAY_S = 50.0
_USUAL = AllowanceOptions()

_WAYS = {
    "usual": _USUAL,
    "steady growth at once": attrs.evolve(_USUAL, growth=Growth(0.001, 15.0)),
    "growth over 6 s": attrs.evolve(_USUAL, growth=Growth(6.0, 15.0)),
    "growth over 9 s": attrs.evolve(_USUAL, growth=Growth(9.0, 15.0)),
    "lead 0.2 s": attrs.evolve(_USUAL, lead_s=0.2),
    "lead 1 s": attrs.evolve(_USUAL, lead_s=1.0),
    "pace 0.9": attrs.evolve(_USUAL, growth_factor=0.9),
    "pace 1.6": attrs.evolve(_USUAL, growth_factor=1.6),
    "no pace of the hand": attrs.evolve(_USUAL, growth_share_per_s=0.0),
    "borrow ahead 4 s": attrs.evolve(_USUAL, hold_s=4.0),
    "borrow ahead 20 s": attrs.evolve(_USUAL, hold_s=20.0),
}


def loads(rng: random.Random) -> tuple[Load, ...]:
    """Return four accounts, of which the first three use their budgets up."""
    found = []
    for number, per_s in enumerate((9.0, 4.0, 1.5, 2.0)):
        shares = tuple(rng.random() ** 2 + 0.02 for _ in range(4))
        used_s = (38.0, 44.0, 47.0, 80.0)[number]
        prepaid = int(per_s * 4150 * used_s)
        account = ClientAccountName(f"account-{number}")
        found.append(Load(account, prepaid, per_s, shares))
    return tuple(found)


async def play(options: AllowanceOptions, seed: int) -> tuple[Outcome, AllowanceWorld]:
    """Play one day."""
    rng = random.Random(seed)
    async with anyio.create_task_group() as tasks:
        world = AllowanceWorld(loads(rng), options, rng, anyio.current_time, tasks)
        for vm in world.vms:
            world.start(vm)
        await anyio.sleep(3.0)
        begun_s = anyio.current_time()
        for load in world.loads:
            tasks.start_soon(world.call, load)
        tasks.start_soon(_troubles, world, rng, begun_s)
        await anyio.sleep(_DAY_S)
        tasks.cancel_scope.cancel()
    return world.outcome, world


async def _troubles(world: AllowanceWorld, rng: random.Random, begun_s: float) -> None:
    """Cut, kill, heat up one account, and kill all, at times that vary."""

    async def until(at_s: float) -> None:
        await anyio.sleep(max(0.0, begun_s + at_s - anyio.current_time()))

    await until(5.0 + rng.random())
    world.store.cut = set(world.vms)
    await anyio.sleep(7.0 + 2 * rng.random())
    world.store.cut = set()
    await until(14.5)
    hot = attrs.evolve(world.loads[1], per_s=world.loads[1].per_s * 1.5)
    with anyio.move_on_after(6.0):
        world.tasks.start_soon(_for, 6.0, world, hot)
        victim = rng.choice(world.vms)
        await anyio.sleep(2.0)
        world.kill(victim)
        await anyio.sleep(3.5)
        world.start(victim)
    await until(23.0 + rng.random())
    world.store.cut = set(world.vms)
    await anyio.sleep(7.0 + 2 * rng.random())
    world.store.cut = set()
    await until(34.0)
    for vm in world.vms:
        world.kill(vm)
    await anyio.sleep(0.8 + 0.7 * rng.random())
    for vm in world.vms:
        world.start(vm)


async def _for(span_s: float, world: AllowanceWorld, load: Load) -> None:
    with anyio.move_on_after(span_s):
        await world.call(load)


def figures(options: AllowanceOptions, seeds: int) -> tuple[float, float, float]:
    """Return shares: refused falsely, refused at all, stranded in spent accounts."""
    asked = refused = false_refusals = 0
    stranded = []
    for seed in range(seeds):
        outcome, world = anyio.run(
            play, options, seed, backend_options={"loop_factory": VirtualLoop}
        )
        asked += outcome.asked
        refused += outcome.refused
        false_refusals += outcome.false_refusals
        for load in world.loads[:3]:
            spent = outcome.consumed_tokens.get(load.account, 0)
            if spent > load.prepaid_tokens:
                raise SystemExit(f"overspent: seed {seed}, {load.account}")
            stranded.append(1.0 - spent / load.prepaid_tokens)
    return false_refusals / asked, refused / asked, sum(stranded) / len(stranded)


@click.command()
@click.option("--seeds", default=10, show_default=True, help="Days for each way.")
@click.option("--way", "ways", multiple=True, help="Only these ways.")
def main(seeds: int, ways: tuple[str, ...]) -> None:
    """Print a line for each way."""
    click.echo(f"{'way':24} false  refused  stranded")
    for name, options in _WAYS.items():
        if ways and name not in ways:
            continue
        false, refused, stranded = figures(options, seeds)
        click.echo(f"{name:24} {false:.4f} {refused:.4f}   {stranded:.4f}")


if __name__ == "__main__":
    main()
