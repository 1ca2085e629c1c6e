"""Compare ways to share the rate of a target that warms up among routers.

``python -m benchmarks.warm_ups`` sends requests through fleets of several sizes to one
target, in virtual time, and prints for each way the most requests in any second and
how many were sent in the whole warm-up. Every router would send all of its requests
there, as to an empty target.
"""

from __future__ import annotations

import random
from typing import Protocol

import click
from attrs import define, field

from endivegw.decisions import send_quota
from endivegw.types import TargetName

_RATE_PER_S = 12.0
_WARM_UP_S = 3.0
_DEMAND_PER_S = 400.0
_TARGET = TargetName("target")


class Way(Protocol):
    """Decide whether one router may send now."""

    def may_send(self, now_s: float) -> bool:
        """Return whether a request may be sent, and record that it is."""


@define
class Interval:
    """Send once in as many seconds as routers share the rate.

    :param next_s: time of the first send that is allowed.
    """

    interval_s: float
    next_s: float = 0.0

    def may_send(self, now_s: float) -> bool:
        """Return whether the interval since the last send has passed."""
        if now_s < self.next_s:
            return False
        self.next_s = now_s + self.interval_s
        return True


@define
class Quota:
    """Send within a quota that only some of the routers have."""

    sends: int
    window_s: float
    _sent_s: list[float] = field(factory=list)

    def may_send(self, now_s: float) -> bool:
        """Return whether the quota of the sliding window is left."""
        self._sent_s = [at_s for at_s in self._sent_s if at_s > now_s - self.window_s]
        if len(self._sent_s) >= self.sends:
            return False
        self._sent_s.append(now_s)
        return True


def _build(way: str, vm: str, vms: list[str], rng: random.Random) -> Way:
    interval_s = len(vms) / _RATE_PER_S
    match way:
        case "equal parts":
            return Interval(interval_s)
        case "equal parts, random start":
            return Interval(interval_s, rng.uniform(0.0, interval_s))
        case _:
            quota = send_quota(_TARGET, _RATE_PER_S, vm, vms)
            return Quota(quota.sends, quota.window_s)


def _play(way: str, count: int, outdated_share: float, seed: int) -> list[float]:
    """Return the times of all sends.

    :param outdated_share: share of the routers that know three quarters of the fleet.
    """
    rng = random.Random(seed)
    vms = [f"vm-{number}" for number in range(count)]
    routers = []
    for vm in vms:
        known = vms
        if rng.random() < outdated_share:
            known = [vm] + rng.sample(vms, 3 * count // 4)
        routers.append(_build(way, vm, sorted(set(known)), rng))
    sent_s: list[float] = []
    now_s = 0.0
    while now_s < _WARM_UP_S:
        if rng.choice(routers).may_send(now_s):
            sent_s.append(now_s)
        now_s += rng.expovariate(_DEMAND_PER_S)
    return sent_s


def _max_in_one_second(sent_s: list[float]) -> int:
    return max(sum(start <= at < start + 1.0 for at in sent_s) for start in sent_s)


@click.command()
@click.option("--seeds", default=50, show_default=True, help="Seeds for each row.")
def main(seeds: int) -> None:
    """Print a row for each way, size of the fleet and share of outdated views."""
    click.echo("| way | routers | outdated | most in a second | sent |")
    click.echo("|---|---|---|---|---|")
    for way in ("equal parts", "equal parts, random start", "chosen senders"):
        for count in (4, 26, 300):
            for outdated in (0.0, 0.2):
                plays = [_play(way, count, outdated, seed) for seed in range(seeds)]
                most = max(_max_in_one_second(sent_s) for sent_s in plays)
                mean = sum(map(len, plays)) / seeds
                click.echo(f"| {way} | {count} | {outdated} | {most} | {mean:.0f} |")


if __name__ == "__main__":
    main()
