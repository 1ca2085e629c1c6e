"""Kinds of requests and streams of their arrivals."""

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
    "RequestKind",
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


#: Share of prompt tokens that the capacity formula assumes to be cached.
NOMINAL_HIT_SHARE = 0.6


#: Completions per second of a saturated fleet, as a multiple of the capacity formula:
#: 1.22 to 1.25 without deadlines and with placement by least outstanding requests.
CALIBRATION = 1.25


@frozen
class RequestKind:
    """A kind of request.

    :param blocks: numbers of complete prompt blocks shared by (all accounts, one
        account, one context of an account).
    :param unique_tokens: prompt tokens that are not shared with other requests.
    :param contexts: number of contexts per account.
    """

    name: str
    model: str
    priority: Priority
    blocks: tuple[int, int, int]
    unique_tokens: int
    mean_output_tokens: int
    max_output_tokens: int
    deadline_s: float
    contexts: int = 8

    def prompt_tokens(self) -> int:
        """Return the length of the prompt."""
        return sum(self.blocks) * BLOCK_TOKENS + self.unique_tokens


KIOSK = RequestKind("kiosk", "badge", Priority.NORMAL, (1, 1, 1), 96, 60, 160, 6.0, 20)
URGENT_KIOSK = evolve(KIOSK, name="guard", priority=Priority.URGENT)
EXPLAIN = RequestKind(
    "explain", "plan", Priority.NORMAL, (1, 2, 1), 200, 120, 256, 15.0
)
PLAN = RequestKind("plan", "plan", Priority.NORMAL, (1, 7, 2), 300, 300, 600, 40.0)
BATCH = RequestKind("report", "plan", Priority.BATCH, (1, 7, 2), 300, 500, 1000, 120.0)
POLL = RequestKind("poll", "service:ramp", Priority.URGENT, (0, 0, 0), 0, 3, 4, 1.0)

ENGINE = EngineSpec()
SERVICE = EngineSpec(
    slots=32, step_base_s=0.01, step_slope_s=0.0003, overhead_s=0.005, cache_blocks=1
)


@frozen
class Arrival:
    """A request with the data that only the simulation knows.

    :param router: number of the router that receives the request.
    :param output_tokens: actual length of the output.
    :param mean_output_tokens: mean output length of its kind.
    """

    at_s: float
    router: int
    kind: str
    item: WorkItem
    output_tokens: int
    mean_output_tokens: int


def slot_seconds(kind: RequestKind) -> float:
    """Return how long a request of this kind occupies a slot of a full engine."""
    cached = NOMINAL_HIT_SHARE * sum(kind.blocks) * BLOCK_TOKENS
    prefill_s = (kind.prompt_tokens() - cached) / ENGINE.prefill_tokens_per_s
    step_s = ENGINE.step_s(ENGINE.slots) * ENGINE.prefill_slowdown
    return 2.0 * (ENGINE.overhead_s + prefill_s) + kind.mean_output_tokens * step_s


@frozen
class Stream:
    """Requests of one account and kind.

    :param rate: requests per second as a function of time.
    :param peak: upper bound of ``rate``.
    :param weight: fair-share weight of the requests.
    """

    account: str
    kind: RequestKind
    rate: Callable[[float], float]
    peak: float
    weight: float = 1.0


def _digest(*parts: object) -> bytes:
    return hashlib.blake2b(repr(parts).encode(), digest_size=8).digest()


def _prefix(kind: RequestKind, account: str, context: int) -> tuple[bytes, ...]:
    common_blocks, account_blocks, context_blocks = kind.blocks
    digests = [_digest(kind.model, kind.name, n) for n in range(common_blocks)]
    digests += [
        _digest(kind.model, kind.name, account, n) for n in range(account_blocks)
    ]
    digests += [
        _digest(kind.model, kind.name, account, context, n)
        for n in range(context_blocks)
    ]
    return tuple(digests)


def _output(kind: RequestKind, rng: random.Random) -> int:
    spread = 0.5
    value = rng.lognormvariate(
        math.log(kind.mean_output_tokens) - spread**2 / 2, spread
    )
    return max(2, min(kind.max_output_tokens, round(value)))


def arrivals(
    streams: list[Stream], duration_s: float, routers: int, rng: random.Random
) -> tuple[Arrival, ...]:
    """Generate Poisson arrivals of all streams by thinning from the peak rate."""
    result: list[Arrival] = []
    for stream in streams:
        now_s = 0.0
        while True:
            now_s += rng.expovariate(stream.peak)
            if now_s >= duration_s:
                break
            if rng.random() * stream.peak > stream.rate(now_s):
                continue
            kind = stream.kind
            context = min(int(rng.expovariate(4.0 / kind.contexts)), kind.contexts - 1)
            item = WorkItem(
                request_id=f"r{len(result)}",
                client_account=ClientAccountName(stream.account),
                priority=kind.priority,
                weight=stream.weight,
                model=kind.model,
                deadline_s=now_s + kind.deadline_s,
                prompt_tokens=kind.prompt_tokens(),
                output_tokens=0 if kind is POLL else kind.max_output_tokens,
                arrived_s=now_s,
                prefix_digests=_prefix(kind, stream.account, context),
            )
            output_tokens = _output(kind, rng)
            router = rng.randrange(routers)
            result.append(
                Arrival(
                    now_s,
                    router,
                    kind.name,
                    item,
                    output_tokens,
                    kind.mean_output_tokens,
                )
            )
    return tuple(sorted(result, key=lambda arrival: arrival.at_s))


def constant(rate: float) -> Callable[[float], float]:
    """Return a constant rate."""
    return lambda now_s: rate


def scaled(scale: float, offered: Callable[[float], float]) -> Callable[[float], float]:
    """Return a rate multiplied by a factor."""
    return lambda now_s: scale * offered(now_s)


def mixed_streams(
    capacity_slots: float,
    offered: Callable[[float], float],
    peak: float,
    accounts: int = 10,
    kinds: tuple[tuple[RequestKind, float], ...] = (
        (KIOSK, 0.6),
        (EXPLAIN, 0.3),
        (PLAN, 0.1),
    ),
    skew: float = 1.0,
) -> list[Stream]:
    """Return streams with a total load of ``offered`` times the capacity.

    :param capacity_slots: number of slots of the fleet.
    :param offered: load as a share of capacity, as a function of time.
    :param peak: upper bound of ``offered``.
    :param kinds: kinds of requests with their shares.
    :param skew: the share of account n is proportional to (n + 1) ** -skew.
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
