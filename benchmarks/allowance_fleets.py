"""Measure false refusals and written-off tokens of allowances by fleet size.

``python -m benchmarks.allowance_fleets [--routers N]... [--seeds N]`` simulates 27
seconds in virtual time for each fleet: a start under full load, a network partition
between all routers and the store from second 10 to 18, and the termination of all
routers at second 23. The load is 2.6 generations per second and router, with long and
short prompts, of accounts of which a few are large. A refusal is false if a counter
with global knowledge would have admitted the request. Datagrams, bytes and writes are
per router and second.
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

_REQUESTS_PER_S = 2.6

#: Share of requests, maximum prompt tokens and answer tokens, by prompt length.
_LONG = (0.43, 18_000, 100)
_SHORT = (0.57, 1_650, 300)

#: Durations for which the prepaid tokens of accounts last, assigned in rotation.
_BUDGET_DURATIONS_S = (20.0, 26.0, 40.0, 60.0)

_SETTLE_S = 3.0
_STEADY_PHASE_S = (5.0, 10.0)
_PARTITION_END_S = 18.0
_TERMINATION_S = 23.0
_DURATION_S = 27.0


@define
class Figures:
    """Totals over the runs of one fleet.

    :ivar requests: number of requests, by phase.
    :ivar false_refusals: number of requests refused falsely, by phase.
    :ivar written_off: share of each prepaid budget that was written off although no
        request had reserved it.
    """

    requests: dict[str, int] = field(factory=dict)
    false_refusals: dict[str, int] = field(factory=dict)
    written_off: list[float] = field(factory=list)
    datagrams_per_s: float = 0.0
    bytes_per_s: float = 0.0
    writes_per_s: float = 0.0

    def false_refusal_share(self, phase: str) -> float:
        """Return the share of requests of a phase that were refused falsely."""
        return self.false_refusals.get(phase, 0) / max(1, self.requests.get(phase, 0))


def fleet_loads(routers: int, rng: random.Random) -> tuple[Load, ...]:
    """Return two loads per account, distributed unevenly over the routers."""
    accounts = round(5 * math.sqrt(routers))
    weights = [1.0 / (rank + 1) ** 0.8 for rank in range(accounts)]
    result = []
    for number, weight in enumerate(weights):
        account = ClientAccountName(f"account-{number}")
        per_s = _REQUESTS_PER_S * routers * weight / sum(weights)
        shares = tuple(rng.random() ** 2 + 0.02 for _ in range(routers))
        used = sum(
            share * (max_prompt_tokens / 2 + answer_tokens / 4)
            for share, max_prompt_tokens, answer_tokens in (_LONG, _SHORT)
        )
        prepaid = int(
            per_s * used * _BUDGET_DURATIONS_S[number % len(_BUDGET_DURATIONS_S)]
        )
        for share, max_prompt_tokens, output in (_LONG, _SHORT):
            result.append(
                Load(
                    account,
                    prepaid,
                    per_s * share,
                    shares,
                    max_prompt_tokens,
                    output,
                    1.5,
                )
            )
    return tuple(result)


async def run_scenario(routers: int, seed: int, loss: float, figures: Figures) -> None:
    """Run the complete scenario once."""
    async with _running(routers, seed, loss) as world:
        await _measure_phase(world, figures, "start", _STEADY_PHASE_S[0])
        await _measure_phase(
            world, figures, "usual", _STEADY_PHASE_S[1] - _STEADY_PHASE_S[0]
        )
        world.store.cut = set(world.vms)
        await _measure_phase(
            world, figures, "cut", _PARTITION_END_S - _STEADY_PHASE_S[1]
        )
        world.store.cut = set()
        await _measure_phase(world, figures, "after", _TERMINATION_S - _PARTITION_END_S)
        await _restart_all(world, figures)
        await _measure_phase(world, figures, "lost", _DURATION_S - _TERMINATION_S)


async def run_startup(routers: int, seed: int, figures: Figures) -> None:
    """Run the first phases of the scenario, without faults."""
    async with _running(routers, seed, loss=0.0) as world:
        await _measure_phase(world, figures, "start", _STEADY_PHASE_S[0])
        await _measure_phase(
            world, figures, "usual", _STEADY_PHASE_S[1] - _STEADY_PHASE_S[0]
        )


@asynccontextmanager
async def _running(routers: int, seed: int, loss: float) -> AsyncIterator[LinkedWorld]:
    """Run a fleet under load, and check at the end that no budget is overspent."""
    rng = random.Random(seed)
    vms = tuple(f"vm-{number:03}" for number in range(routers))
    async with anyio.create_task_group() as tasks:
        loads = fleet_loads(routers, rng)
        options = AllowanceOptions(spread_rows=True)
        world = LinkedWorld(loads, options, rng, anyio.current_time, tasks, vms)
        world.network.loss = loss
        for vm in vms:
            world.start(vm)
        await anyio.sleep(_SETTLE_S)
        for load in loads:
            tasks.start_soon(world.call, load)
        yield world
        tasks.cancel_scope.cancel()
    _check_budgets(world, seed)


async def _measure_phase(
    world: LinkedWorld, figures: Figures, phase: str, duration_s: float
) -> None:
    outcome, network = world.outcome, world.network
    asked_before, false_refusals_before = outcome.asked, outcome.false_refusals
    sent, sent_bytes = network.sent, network.sent_bytes
    writes = world.store.revision
    await anyio.sleep(duration_s)
    figures.requests[phase] = (
        figures.requests.get(phase, 0) + outcome.asked - asked_before
    )
    refused = outcome.false_refusals - false_refusals_before
    figures.false_refusals[phase] = figures.false_refusals.get(phase, 0) + refused
    if phase == "usual":
        router_seconds = duration_s * len(world.vms)
        figures.datagrams_per_s = (network.sent - sent) / router_seconds
        figures.bytes_per_s = (network.sent_bytes - sent_bytes) / router_seconds
        figures.writes_per_s = (world.store.revision - writes) / router_seconds


async def _restart_all(world: LinkedWorld, figures: Figures) -> None:
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
    """Return the net usage in the ledgers of all routers, by account."""
    result: dict[ClientAccountName, int] = {}
    for router in world.routers.values():
        for account, funds in router.allowances.ledger.funds.items():
            result[account] = result.get(account, 0) + funds.used_tokens
    return result


def _check_budgets(world: LinkedWorld, seed: int) -> None:
    for account, prepaid_tokens in world.prepaid.items():
        spent_tokens = world.outcome.consumed_tokens.get(account, 0)
        if spent_tokens > prepaid_tokens:
            raise SystemExit(
                f"overspent: seed {seed}, {account}: "
                f"{spent_tokens} of {prepaid_tokens} prepaid tokens consumed"
            )


@click.command()
@click.option("--routers", multiple=True, type=int, default=(4, 29, 68))
@click.option("--seeds", default=2, show_default=True, help="Runs for each fleet.")
@click.option("--loss", default=0.0, show_default=True, help="Share of datagrams lost.")
def main(routers: tuple[int, ...], seeds: int, loss: float) -> None:
    """Print one line for each fleet size."""
    phases = ("start", "usual", "cut", "after", "lost")
    click.echo(
        "routers  refused falsely: "
        + "  ".join(f"{phase:6}" for phase in phases)
        + "  written off: mean, most  datagrams/s  KB/s  writes/s"
    )
    for count in routers:
        figures = Figures()
        for seed in range(seeds):
            anyio.run(
                run_scenario,
                count,
                seed,
                loss,
                figures,
                backend_options={"loop_factory": VirtualLoop},
            )
        written_off = figures.written_off
        shares = "  ".join(
            f"{figures.false_refusal_share(phase):.4f}" for phase in phases
        )
        click.echo(
            f"{count:7}                   {shares}"
            f"                {sum(written_off) / len(written_off):.3f} "
            f"{max(written_off):.3f}"
            f"  {figures.datagrams_per_s:11.1f}  {figures.bytes_per_s / 1000:.1f}"
            f"  {figures.writes_per_s:8.1f}"
        )


if __name__ == "__main__":
    main()
