"""Compare ways to share the limit of a target among routers.

``python -m benchmarks.send_limits`` plays fleets of several sizes in virtual time.
Three targets state a limit each, and callers want far more. It prints for each way the
most requests in 4 s at a target, which part of the limits was used, how many requests
were refused in seconds that left a fifth of the limits unused, and the datagrams of a
router.
"""

from __future__ import annotations

import random
from typing import Callable

import anyio
import click
from attrs import define, field

from endivegw.decisions import PermitRequest, Permits, SendSchedule, send_quota
from endivegw.types import TargetName
from endivegw_standins.arrivals import most_arrivals
from endivegw_standins.limit_world import LimitedTarget, LimitRouter, LimitWorld
from endivegw_standins.virtual_time import VirtualLoop

_LIMIT_PER_S = 2.0
_TARGETS = 3
_DEMAND_PER_S = 50.0
_DURATION_S = 15.0
_SETTLE_S = 3.0
_WINDOW_S = 4.0

#: Share of the callers at the first router where they are unevenly spread.
_UNEVEN_SHARE = 0.9

Requester = Callable[[PermitRequest], None]


def _even_parts(router: LimitRouter) -> Requester:
    """Let each router send its even part, from a random start."""
    schedules: dict[str, SendSchedule] = {}
    rng = random.Random(router.vm)

    def request(asked: PermitRequest) -> None:
        now_s = router.world.clock()
        part_per_s = asked.limit.part_per_s
        if asked.target not in schedules:
            schedules[asked.target] = SendSchedule(now_s + rng.random() / part_per_s)
        permits = schedules[asked.target].assign(part_per_s, asked.sends, now_s)
        router.queue.add_permits(asked.target, asked.started_ms, permits)

    return request


def _chosen_senders(router: LimitRouter) -> Requester:
    """Let as many routers send to a target as it accepts requests per second."""
    schedules: dict[str, SendSchedule] = {}

    def request(asked: PermitRequest) -> None:
        now_s = router.world.clock()
        vms = {router.vm, *(entry.vm for entry in router.link.peers.entries())}
        quota = send_quota(asked.target, asked.limit.rate_per_s, router.vm, vms)
        permits = Permits(0, 0.0, 0.0, 1.0)
        if quota.sends:
            schedule = schedules.setdefault(asked.target, SendSchedule(now_s))
            rate_per_s = quota.sends / quota.window_s
            permits = schedule.assign(rate_per_s, asked.sends, now_s)
        router.queue.add_permits(asked.target, asked.started_ms, permits)

    return request


_WAYS = {
    "even parts": _even_parts,
    "chosen senders": _chosen_senders,
    "permits of a coordinator": None,
}


@define
class _Result:
    """Figures of one play."""

    most: int = 0
    used_share: float = 0.0
    false_refusals: int = 0
    refusals: int = 0
    datagrams_per_s: float = 0.0


@define
class _Play:
    way: str
    routers: int
    is_uneven: bool
    loss: float
    seed: int
    result: _Result = field(factory=_Result)

    async def run(self) -> None:
        async with anyio.create_task_group() as tasks:
            targets = [
                LimitedTarget(TargetName(f"t-{number}"), _LIMIT_PER_S)
                for number in range(_TARGETS)
            ]
            world = LimitWorld(random.Random(self.seed), tasks, targets)
            world.way = _WAYS[self.way]
            world.network.loss = self.loss
            for number in range(self.routers):
                world.start(f"vm-{number}")
            await anyio.sleep(2.0 + 0.05 * self.routers)
            from_s = world.clock() + _SETTLE_S
            sent = world.network.sent
            weights = [1.0] * self.routers
            if self.is_uneven:
                share = _UNEVEN_SHARE / (1.0 - _UNEVEN_SHARE)
                weights[0] = share * max(1, self.routers - 1)
            tasks.start_soon(self._count_false_refusals, world, from_s)
            await world.send(_DURATION_S, _DEMAND_PER_S, weights)
            self._read(world, from_s, sent)
            tasks.cancel_scope.cancel()

    def _read(self, world: LimitWorld, from_s: float, sent: int) -> None:
        sends = [at_s for t in world.targets for at_s in t.arrivals_s if at_s >= from_s]
        allowed = _LIMIT_PER_S * _TARGETS * (_DURATION_S - _SETTLE_S)
        result = self.result
        result.most = max(
            most_arrivals(t.arrivals_s, from_s, _WINDOW_S) for t in world.targets
        )
        result.used_share = len(sends) / allowed
        result.refusals = world.outcomes["target_limit"]
        datagrams = world.network.sent - sent
        result.datagrams_per_s = datagrams / _DURATION_S / self.routers

    async def _count_false_refusals(self, world: LimitWorld, from_s: float) -> None:
        """Count refusals in seconds that left a fifth of the limits unused."""
        await anyio.sleep_until(from_s)
        while True:
            refused = world.outcomes["target_limit"]
            sends = sum(len(target.arrivals_s) for target in world.targets)
            await anyio.sleep(1.0)
            used = sum(len(target.arrivals_s) for target in world.targets) - sends
            if used < 0.8 * _LIMIT_PER_S * _TARGETS:
                self.result.false_refusals += world.outcomes["target_limit"] - refused


def _play(way: str, routers: int, is_uneven: bool, loss: float, seed: int) -> _Result:
    play = _Play(way, routers, is_uneven, loss, seed)
    anyio.run(play.run, backend_options={"loop_factory": VirtualLoop})
    return play.result


@click.command()
@click.option("--seeds", default=10, show_default=True, help="Seeds for each row.")
@click.option("--most-routers", default=68, show_default=True, help="Largest fleet.")
def main(seeds: int, most_routers: int) -> None:
    """Print a row for each way, size of the fleet, spread of callers and loss."""
    click.echo(
        "| way | routers | callers | datagrams lost | most in 4 s | used"
        " | refused with room | refused | datagrams a second |"
    )
    click.echo("|---|---|---|---|---|---|---|---|---|")
    cases = [(False, 0.0), (True, 0.0), (False, 0.3)]
    for routers in [count for count in (4, 26, 68, 300) if count <= most_routers]:
        for is_uneven, loss in cases:
            for way in _WAYS:
                found = [
                    _play(way, routers, is_uneven, loss, seed)
                    for seed in range(1, seeds + 1)
                ]
                most = max(result.most for result in found)
                used = sum(result.used_share for result in found) / seeds
                false = sum(result.false_refusals for result in found) / seeds
                refused = sum(result.refusals for result in found) / seeds
                datagrams = sum(result.datagrams_per_s for result in found) / seeds
                click.echo(
                    f"| {way} | {routers} | {'uneven' if is_uneven else 'even'}"
                    f" | {loss} | {most} | {used:.2f} | {false:.0f} | {refused:.0f}"
                    f" | {datagrams:.0f} |"
                )


if __name__ == "__main__":
    main()
