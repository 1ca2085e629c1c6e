"""Who asks for what, and when: kinds of requests and streams of arrivals."""

from __future__ import annotations

import hashlib
import math
import random
from typing import Callable

from attrs import evolve, frozen
from benchmarks.decisions_engine import BLOCK_TOKENS, EngineSpec

from endivegw.decisions import WorkItem
from endivegw.types import ClientAccountName, Priority

__all__ = [
    "Arrival",
    "BATCH",
    "ENGINE",
    "EXPLAIN",
    "KIOSK",
    "Kind",
    "PLAN",
    "POLL",
    "SERVICE",
    "Stream",
    "URGENT_KIOSK",
    "arrivals",
    "constant",
    "mixed_streams",
    "slot_seconds",
]


#: Share of prompt tokens that the capacity formula takes as cached.
NOMINAL_HIT_SHARE = 0.6


#: Completions a second of a saturated fleet, as a multiple of the capacity
#: formula: 1.22 to 1.25 with deadlines lifted, least outstanding placement.
CALIBRATION = 1.25


@frozen
class Kind:
    """Hold one kind of request.

    :param blocks: whole prompt blocks shared within (everyone, one account,
        one scene of an account).
    """

    name: str
    model: str
    priority: Priority
    blocks: tuple[int, int, int]
    own_tokens: int
    mean_output: int
    max_output: int
    deadline_s: float
    scenes: int = 8

    def prompt_tokens(self) -> int:
        """Return the length of the prompt."""
        return sum(self.blocks) * BLOCK_TOKENS + self.own_tokens


KIOSK = Kind("kiosk", "badge", Priority.NORMAL, (1, 1, 1), 96, 60, 160, 6.0, 20)
URGENT_KIOSK = evolve(KIOSK, name="guard", priority=Priority.URGENT)
EXPLAIN = Kind("explain", "plan", Priority.NORMAL, (1, 2, 1), 200, 120, 256, 15.0)
PLAN = Kind("plan", "plan", Priority.NORMAL, (1, 7, 2), 300, 300, 600, 40.0)
BATCH = Kind("report", "plan", Priority.BATCH, (1, 7, 2), 300, 500, 1000, 120.0)
POLL = Kind("poll", "service:ramp", Priority.URGENT, (0, 0, 0), 0, 3, 4, 1.0)

ENGINE = EngineSpec()
SERVICE = EngineSpec(
    slots=32, step_base_s=0.01, step_slope_s=0.0003, overhead_s=0.005, cache_blocks=1
)


@frozen
class Arrival:
    """Hold one request as the world knows it.

    :param output_tokens: its true output.
    :param mean_output: the mean of its kind.
    """

    at_s: float
    router: int
    kind: str
    item: WorkItem
    output_tokens: int
    mean_output: int


def slot_seconds(kind: Kind) -> float:
    """Return how long a request of this kind holds a slot of a full engine."""
    cached = NOMINAL_HIT_SHARE * sum(kind.blocks) * BLOCK_TOKENS
    read_s = (kind.prompt_tokens() - cached) / ENGINE.prefill_tokens_per_s
    step_s = ENGINE.step_s(ENGINE.slots) * ENGINE.prefill_slowdown
    return 2.0 * (ENGINE.overhead_s + read_s) + kind.mean_output * step_s


@frozen
class Stream:
    """Hold one account's requests of one kind.

    :param rate: requests per second at a moment.
    """

    account: str
    kind: Kind
    rate: Callable[[float], float]
    peak: float
    weight: float = 1.0


def _digest(*parts: object) -> bytes:
    return hashlib.blake2b(repr(parts).encode(), digest_size=8).digest()


def _prefix(kind: Kind, account: str, scene: int) -> tuple[bytes, ...]:
    shared, own, scenic = kind.blocks
    digests = [_digest(kind.model, kind.name, n) for n in range(shared)]
    digests += [_digest(kind.model, kind.name, account, n) for n in range(own)]
    digests += [
        _digest(kind.model, kind.name, account, scene, n) for n in range(scenic)
    ]
    return tuple(digests)


def _output(kind: Kind, rng: random.Random) -> int:
    spread = 0.5
    drawn = rng.lognormvariate(math.log(kind.mean_output) - spread**2 / 2, spread)
    return max(2, min(kind.max_output, round(drawn)))


def arrivals(
    streams: list[Stream], duration_s: float, routers: int, rng: random.Random
) -> tuple[Arrival, ...]:
    """Draw Poisson arrivals of all streams, thinned to their rates."""
    found: list[Arrival] = []
    for stream in streams:
        now_s = 0.0
        while True:
            now_s += rng.expovariate(stream.peak)
            if now_s >= duration_s:
                break
            if rng.random() * stream.peak > stream.rate(now_s):
                continue
            kind = stream.kind
            scene = min(int(rng.expovariate(4.0 / kind.scenes)), kind.scenes - 1)
            item = WorkItem(
                request_id=f"r{len(found)}",
                client_account=ClientAccountName(stream.account),
                priority=kind.priority,
                weight=stream.weight,
                model=kind.model,
                deadline_s=now_s + kind.deadline_s,
                prompt_tokens=kind.prompt_tokens(),
                output_tokens=0 if kind is POLL else kind.max_output,
                arrived_s=now_s,
                prefix_digests=_prefix(kind, stream.account, scene),
            )
            output = _output(kind, rng)
            router = rng.randrange(routers)
            found.append(
                Arrival(now_s, router, kind.name, item, output, kind.mean_output)
            )
    return tuple(sorted(found, key=lambda arrival: arrival.at_s))


def constant(rate: float) -> Callable[[float], float]:
    """Return a rate that does not change."""
    return lambda now_s: rate


def scaled(scale: float, offered: Callable[[float], float]) -> Callable[[float], float]:
    """Return a rate times a factor."""
    return lambda now_s: scale * offered(now_s)


def mixed_streams(
    capacity_slots: float,
    offered: Callable[[float], float],
    peak: float,
    accounts: int = 10,
    kinds: tuple[tuple[Kind, float], ...] = ((KIOSK, 0.6), (EXPLAIN, 0.3), (PLAN, 0.1)),
    skew: float = 1.0,
) -> list[Stream]:
    """Return streams that together offer a share of ``capacity_slots``.

    :param skew: the share of account n falls with (n + 1) ** -skew.
    """
    shares = [(n + 1) ** -skew for n in range(accounts)]
    total = sum(shares)
    mean_s = sum(share * slot_seconds(kind) for kind, share in kinds)
    per_second = CALIBRATION * capacity_slots / mean_s
    streams = []
    for number, share in enumerate(shares):
        for kind, part in kinds:
            scale = per_second * part * share / total
            streams.append(
                Stream(
                    f"account-{number}",
                    kind,
                    scaled(scale, offered),
                    scale * peak,
                )
            )
    return streams
