"""Summary of the outcomes that callers observe under a load."""

from __future__ import annotations

from collections import defaultdict

from attrs import frozen
from benchmarks.decisions_world import Outcome, Record, World

from endivegw.types import Priority

__all__ = ["Summary", "percentile", "summarise"]


@frozen
class Summary:
    """Figures of one run; times in seconds, shares from 0 to 1.

    :param good: share of requests completed within their deadline.
    :param good_tokens: share of offered prompt and output tokens in good requests.
    :param good_tokens_per_s: tokens of good requests per second of the measurement.
    :param false_refusals: share of requests that were refused or expired although a
        target had capacity to complete them in time.
    :param first_p95_s: time to the first token of good requests.
    :param urgent_p95_s: time to the complete answer of good urgent model requests.
    :param told_p95_s: time to the final answer of requests that were not good.
    :param fairness: the lowest ratio over accounts of served tokens to the fair share,
        which is the demand or the max-min fair share, whichever is less.
    :param hit_share: share of prompt tokens found in caches.
    :param comebacks_served: share of good outcomes among retries sent after the advised
        ``retry_after_s``.
    """

    requests: int
    good: float
    good_tokens: float
    good_tokens_per_s: float
    late: float
    refused: float
    expired: float
    failed: float
    false_refusals: float
    p50_s: float
    p95_s: float
    p99_s: float
    first_p95_s: float
    urgent_p95_s: float
    told_p95_s: float
    fairness: float
    hit_share: float
    comebacks_served: float


def percentile(values: list[float], share: float) -> float:
    """Return a percentile by nearest rank, or nan if there are no values."""
    if not values:
        return float("nan")
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def _tokens(record: Record) -> int:
    return record.arrival.item.prompt_tokens + record.arrival.output_tokens


def _max_min_share(demands: list[float], capacity: float) -> float:
    """Return the max-min fair share of the capacity; inf if it covers all demands."""
    remaining = capacity
    for number, demand in enumerate(sorted(demands)):
        level = remaining / (len(demands) - number)
        if demand >= level:
            return level
        remaining -= demand
    return float("inf")


def fairness(records: list[Record]) -> float:
    """Return the lowest ratio of served tokens to fair share over all accounts."""
    demand_tokens: dict[str, float] = defaultdict(float)
    served_tokens: dict[str, float] = defaultdict(float)
    for record in records:
        account = record.arrival.item.client_account
        demand_tokens[account] += _tokens(record)
        if record.outcome == Outcome.GOOD:
            served_tokens[account] += _tokens(record)
    level = _max_min_share(list(demand_tokens.values()), sum(served_tokens.values()))
    return (
        min(
            served_tokens[name] / min(demand_tokens[name], level)
            for name in demand_tokens
        )
        if demand_tokens
        else 1.0
    )


def summarise(world: World) -> Summary:
    """Return the summary of a finished run."""
    load = world.load
    measured = [
        record
        for record in world.records
        if load.measured_from_s <= record.submitted_s < load.duration_s
    ]
    count = max(1, len(measured))
    good = [record for record in measured if record.outcome == Outcome.GOOD]
    model = [r for r in good if not r.arrival.item.model.startswith("service:")]
    urgent = [r for r in model if r.arrival.item.priority is Priority.URGENT]
    other_times_s = [r.response_s for r in measured if r.outcome != Outcome.GOOD]
    offered = sum(_tokens(record) for record in measured)
    served = sum(_tokens(record) for record in good)
    advised_retries = [r for r in measured if r.is_advised_retry]

    def share(outcome: str) -> float:
        return sum(1 for r in measured if r.outcome == outcome) / count

    prompts = sum(engine.prompt_tokens for engine in world.engines.values())
    hits = sum(engine.hit_tokens for engine in world.engines.values())
    return Summary(
        requests=len(measured),
        good=len(good) / count,
        good_tokens=served / max(1, offered),
        good_tokens_per_s=served / (load.duration_s - load.measured_from_s),
        late=share(Outcome.LATE),
        refused=share(Outcome.REFUSED),
        expired=share(Outcome.EXPIRED),
        failed=share(Outcome.FAILED),
        false_refusals=sum(1 for r in measured if r.had_capacity) / count,
        p50_s=percentile([r.response_s for r in model], 0.5),
        p95_s=percentile([r.response_s for r in model], 0.95),
        p99_s=percentile([r.response_s for r in model], 0.99),
        first_p95_s=percentile([r.first_s or 0.0 for r in model], 0.95),
        urgent_p95_s=percentile([r.response_s for r in urgent], 0.95),
        told_p95_s=percentile(other_times_s, 0.95),
        fairness=fairness(measured),
        hit_share=hits / max(1, prompts),
        comebacks_served=(
            sum(1 for r in advised_retries if r.outcome == Outcome.GOOD)
            / len(advised_retries)
            if advised_retries
            else float("nan")
        ),
    )
