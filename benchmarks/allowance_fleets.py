"""Share prepaid budgets over small and large fleets: refused falsely, written off.

``python -m benchmarks.allowance_fleets [--routers N]... [--seeds N]`` plays 27 seconds
in virtual time for each fleet: a start under full load, a cut of all routers from the
store from second 10 to 18, a loss of all routers at second 23. Load grows with the
fleet: 2.6 generations a second and router, long prompts and short ones, of accounts of
which a few are large. The all-knowing counter is the measure. Datagrams, bytes and
writes are those of one router in a second.
"""

from __future__ import annotations

import math
import random
from contextlib import asynccontextmanager
from typing import AsyncIterator

import anyio
import click
from attrs import define, field

from endivegw.allowances import AllowanceOptions
from endivegw.types import ClientAccountName
from endivegw_standins.allowance_world import Load
from endivegw_standins.linked_world import LinkedWorld
from endivegw_standins.virtual_time import VirtualLoop

_PER_S = 2.6

#: Share of the long prompts, the largest ones in tokens, and their answers.
_LONG = (0.43, 18_000, 100)
_SHORT = (0.57, 1_650, 300)

#: How long each budget lasts; the accounts take turns.
_LASTS_S = (20.0, 26.0, 40.0, 60.0)

_SETTLED_S = 3.0
_USUAL_S = (5.0, 10.0)
_CUT_ENDS_S = 18.0
_LOST_S = 23.0
_DAY_S = 27.0


@define
class Figures:
    """Add up days of one fleet; shares are of what was asked.

    :ivar written_off: shares of budgets that no request had held, by account.
    """

    asked: dict[str, int] = field(factory=dict)
    false_refusals: dict[str, int] = field(factory=dict)
    written_off: list[float] = field(factory=list)
    datagrams_per_s: float = 0.0
    bytes_per_s: float = 0.0
    writes_per_s: float = 0.0

    def false_share(self, span: str) -> float:
        """Return the share of a span's requests that were refused falsely."""
        return self.false_refusals.get(span, 0) / max(1, self.asked.get(span, 0))


def fleet_loads(routers: int, rng: random.Random) -> tuple[Load, ...]:
    """Return two loads an account, whose callers spread unevenly over routers."""
    accounts = round(5 * math.sqrt(routers))
    weights = [1.0 / (rank + 1) ** 0.8 for rank in range(accounts)]
    found = []
    for number, weight in enumerate(weights):
        account = ClientAccountName(f"account-{number}")
        per_s = _PER_S * routers * weight / sum(weights)
        shares = tuple(rng.random() ** 2 + 0.02 for _ in range(routers))
        used = sum(part * (most / 2 + out / 4) for part, most, out in (_LONG, _SHORT))
        prepaid = int(per_s * used * _LASTS_S[number % len(_LASTS_S)])
        for part, most, output in (_LONG, _SHORT):
            found.append(
                Load(account, prepaid, per_s * part, shares, most, output, 1.5)
            )
    return tuple(found)


async def play(routers: int, seed: int, loss: float, figures: Figures) -> None:
    """Play one day."""
    async with _running(routers, seed, loss) as world:
        await _span(world, figures, "start", _USUAL_S[0])
        await _span(world, figures, "usual", _USUAL_S[1] - _USUAL_S[0])
        world.store.cut = set(world.vms)
        await _span(world, figures, "cut", _CUT_ENDS_S - _USUAL_S[1])
        world.store.cut = set()
        await _span(world, figures, "after", _LOST_S - _CUT_ENDS_S)
        await _lose_all(world, figures)
        await _span(world, figures, "lost", _DAY_S - _LOST_S)


async def play_start(routers: int, seed: int, figures: Figures) -> None:
    """Play the first seconds, in which nothing fails."""
    async with _running(routers, seed, loss=0.0) as world:
        await _span(world, figures, "start", _USUAL_S[0])
        await _span(world, figures, "usual", _USUAL_S[1] - _USUAL_S[0])


@asynccontextmanager
async def _running(routers: int, seed: int, loss: float) -> AsyncIterator[LinkedWorld]:
    """Run a fleet and its callers; check the budgets at the end."""
    rng = random.Random(seed)
    vms = tuple(f"vm-{number:03}" for number in range(routers))
    async with anyio.create_task_group() as tasks:
        loads = fleet_loads(routers, rng)
        options = AllowanceOptions(spread_rows=True)
        world = LinkedWorld(loads, options, rng, anyio.current_time, tasks, vms)
        world.network.loss = loss
        for vm in vms:
            world.start(vm)
        await anyio.sleep(_SETTLED_S)
        for load in loads:
            tasks.start_soon(world.call, load)
        yield world
        tasks.cancel_scope.cancel()
    _check_budgets(world, seed)


async def _span(
    world: LinkedWorld, figures: Figures, span: str, lasts_s: float
) -> None:
    outcome, network = world.outcome, world.network
    asked, false = outcome.asked, outcome.false_refusals
    sent, sent_bytes = network.sent, network.sent_bytes
    writes = world.store.revision
    await anyio.sleep(lasts_s)
    figures.asked[span] = figures.asked.get(span, 0) + outcome.asked - asked
    refused = outcome.false_refusals - false
    figures.false_refusals[span] = figures.false_refusals.get(span, 0) + refused
    if span == "usual":
        each = lasts_s * len(world.vms)
        figures.datagrams_per_s = (network.sent - sent) / each
        figures.bytes_per_s = (network.sent_bytes - sent_bytes) / each
        figures.writes_per_s = (world.store.revision - writes) / each


async def _lose_all(world: LinkedWorld, figures: Figures) -> None:
    used = used_tokens(world)
    for vm in world.vms:
        world.kill(vm)
    await anyio.sleep(0.8 + 0.9 * world.rng.random())
    for vm in world.vms:
        world.start(vm)
    while not all(router.allowances.ready for router in world.routers.values()):
        await anyio.sleep(0.01)
    counted = used_tokens(world)
    for account, prepaid_tokens in world.prepaid.items():
        lost_tokens = counted.get(account, 0) - used.get(account, 0)
        figures.written_off.append(lost_tokens / prepaid_tokens)


def used_tokens(world: LinkedWorld) -> dict[ClientAccountName, int]:
    """Return the net use that the routers count, by account."""
    found: dict[ClientAccountName, int] = {}
    for router in world.routers.values():
        for account, funds in router.allowances.ledger.funds.items():
            found[account] = found.get(account, 0) + funds.used_tokens
    return found


def _check_budgets(world: LinkedWorld, seed: int) -> None:
    for account, prepaid_tokens in world.prepaid.items():
        spent_tokens = world.outcome.consumed_tokens.get(account, 0)
        if spent_tokens > prepaid_tokens:
            raise SystemExit(f"overspent: seed {seed}, {account}")


@click.command()
@click.option("--routers", multiple=True, type=int, default=(4, 29, 68))
@click.option("--seeds", default=2, show_default=True, help="Days for each fleet.")
@click.option("--loss", default=0.0, show_default=True, help="Lost datagrams.")
def main(routers: tuple[int, ...], seeds: int, loss: float) -> None:
    """Print a line for each fleet."""
    spans = ("start", "usual", "cut", "after", "lost")
    click.echo(
        "routers  refused falsely: "
        + "  ".join(f"{span:6}" for span in spans)
        + "  written off: mean, most  datagrams/s  KB/s  writes/s"
    )
    for count in routers:
        figures = Figures()
        for seed in range(seeds):
            anyio.run(
                play,
                count,
                seed,
                loss,
                figures,
                backend_options={"loop_factory": VirtualLoop},
            )
        off = figures.written_off
        shares = "  ".join(f"{figures.false_share(span):.4f}" for span in spans)
        click.echo(
            f"{count:7}                   {shares}"
            f"                {sum(off) / len(off):.3f} {max(off):.3f}"
            f"  {figures.datagrams_per_s:11.1f}  {figures.bytes_per_s / 1000:.1f}"
            f"  {figures.writes_per_s:8.1f}"
        )


if __name__ == "__main__":
    main()
