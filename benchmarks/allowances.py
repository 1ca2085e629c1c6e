"""Compare options for allowances by false refusals and stranded tokens.

``python -m benchmarks.allowances [--seeds N]`` simulates 50 seconds in virtual time for
each set of options: four routers with uneven load, four accounts of which one gets a
load peak, two network partitions between all routers and the store, one killed router,
and a kill of all routers. A refusal is false if a counter with global knowledge would
have admitted the request.
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

_DURATION_S = 50.0
_DEFAULTS = AllowanceOptions()

_VARIANTS = {
    "usual": _DEFAULTS,
    "steady growth at once": attrs.evolve(_DEFAULTS, growth=Growth(0.001, 15.0)),
    "growth over 6 s": attrs.evolve(_DEFAULTS, growth=Growth(6.0, 15.0)),
    "growth over 9 s": attrs.evolve(_DEFAULTS, growth=Growth(9.0, 15.0)),
    "lead 0.2 s": attrs.evolve(_DEFAULTS, lead_s=0.2),
    "lead 1 s": attrs.evolve(_DEFAULTS, lead_s=1.0),
    "pace 0.9": attrs.evolve(_DEFAULTS, growth_factor=0.9),
    "pace 1.6": attrs.evolve(_DEFAULTS, growth_factor=1.6),
    "no pace of the hand": attrs.evolve(_DEFAULTS, growth_share_per_s=0.0),
    "borrow ahead 4 s": attrs.evolve(_DEFAULTS, hold_s=4.0),
    "borrow ahead 20 s": attrs.evolve(_DEFAULTS, hold_s=20.0),
}


def loads(rng: random.Random) -> tuple[Load, ...]:
    """Return the loads of four accounts; the first three exhaust their budgets."""
    result = []
    for number, per_s in enumerate((9.0, 4.0, 1.5, 2.0)):
        shares = tuple(rng.random() ** 2 + 0.02 for _ in range(4))
        exhausted_after_s = (38.0, 44.0, 47.0, 80.0)[number]
        prepaid = int(per_s * 4150 * exhausted_after_s)
        account = ClientAccountName(f"account-{number}")
        result.append(Load(account, prepaid, per_s, shares))
    return tuple(result)


async def run_scenario(
    options: AllowanceOptions, seed: int
) -> tuple[Outcome, AllowanceWorld]:
    """Run the scenario once."""
    rng = random.Random(seed)
    async with anyio.create_task_group() as tasks:
        world = AllowanceWorld(loads(rng), options, rng, anyio.current_time, tasks)
        for vm in world.vms:
            world.start(vm)
        await anyio.sleep(3.0)
        started_s = anyio.current_time()
        for load in world.loads:
            tasks.start_soon(world.call, load)
        tasks.start_soon(_inject_faults, world, rng, started_s)
        await anyio.sleep(_DURATION_S)
        tasks.cancel_scope.cancel()
    return world.outcome, world


async def _inject_faults(
    world: AllowanceWorld, rng: random.Random, started_s: float
) -> None:
    """Inject partitions, a load peak and kills of routers at randomised times."""

    async def sleep_until(at_s: float) -> None:
        await anyio.sleep(max(0.0, started_s + at_s - anyio.current_time()))

    await sleep_until(5.0 + rng.random())
    world.store.cut = set(world.vms)
    await anyio.sleep(7.0 + 2 * rng.random())
    world.store.cut = set()
    await sleep_until(14.5)
    hot_load = attrs.evolve(world.loads[1], per_s=world.loads[1].per_s * 1.5)
    with anyio.move_on_after(6.0):
        world.tasks.start_soon(_call_for, 6.0, world, hot_load)
        killed_vm = rng.choice(world.vms)
        await anyio.sleep(2.0)
        world.kill(killed_vm)
        await anyio.sleep(3.5)
        world.start(killed_vm)
    await sleep_until(23.0 + rng.random())
    world.store.cut = set(world.vms)
    await anyio.sleep(7.0 + 2 * rng.random())
    world.store.cut = set()
    await sleep_until(34.0)
    for vm in world.vms:
        world.kill(vm)
    await anyio.sleep(0.8 + 0.7 * rng.random())
    for vm in world.vms:
        world.start(vm)


async def _call_for(duration_s: float, world: AllowanceWorld, load: Load) -> None:
    with anyio.move_on_after(duration_s):
        await world.call(load)


def measure_shares(options: AllowanceOptions, seeds: int) -> tuple[float, float, float]:
    """Return the shares of false refusals, of all refusals and of stranded tokens.

    The stranded share is the mean over the accounts that exhaust their budgets.
    """
    requests = refused = false_refusals = 0
    stranded = []
    for seed in range(seeds):
        outcome, world = anyio.run(
            run_scenario, options, seed, backend_options={"loop_factory": VirtualLoop}
        )
        requests += outcome.asked
        refused += outcome.refused
        false_refusals += outcome.false_refusals
        for load in world.loads[:3]:
            spent = outcome.consumed_tokens.get(load.account, 0)
            if spent > load.prepaid_tokens:
                raise SystemExit(
                    f"overspent: seed {seed}, {load.account}: "
                    f"{spent} of {load.prepaid_tokens} prepaid tokens consumed"
                )
            stranded.append(1.0 - spent / load.prepaid_tokens)
    return false_refusals / requests, refused / requests, sum(stranded) / len(stranded)


@click.command()
@click.option("--seeds", default=10, show_default=True, help="Runs for each way.")
@click.option(
    "--way", "ways", multiple=True, help="Run only this way; may be repeated."
)
def main(seeds: int, ways: tuple[str, ...]) -> None:
    """Print one line for each set of options."""
    click.echo(f"{'way':24} false  refused  stranded")
    for name, options in _VARIANTS.items():
        if ways and name not in ways:
            continue
        false, refused, stranded = measure_shares(options, seeds)
        click.echo(f"{name:24} {false:.4f} {refused:.4f}   {stranded:.4f}")


if __name__ == "__main__":
    main()
