"""What callers saw of a load, as one line of figures."""

from __future__ import annotations

from collections import defaultdict

from attrs import frozen
from benchmarks.decisions_world import Outcome, Record, World

from endivegw.types import Priority

__all__ = ["Summary", "percentile", "summarise"]


@frozen
class Summary:
    """Hold the figures of one run; times in seconds, shares from 0 to 1.

    :param good: requests whole within their deadline, of those offered.
    :param good_tokens: prompt and output tokens of those, of those offered.
    :param good_tokens_per_s: the same per second of the measured time.
    :param false_refusals: refused or given up while a target had room and
        would have ended it in time, of those offered.
    :param first_p95_s: until the first token, of requests answered in time.
    :param urgent_p95_s: whole answers to urgent model requests.
    :param told_p95_s: until the final answer of those that got no good one.
    :param fairness: the lowest share that an account got of what it asked for
        or, where that is less, of its equal part of what was served.
    :param hit_share: prompt tokens found in caches.
    :param comebacks_served: refused callers served when they came back after
        the time they were told.
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
    """Return a percentile by nearest rank; nan where there is none."""
    if not values:
        return float("nan")
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def _tokens(record: Record) -> int:
    return record.arrival.item.prompt_tokens + record.arrival.output_tokens


def _equal_part(demands: list[float], capacity: float) -> float:
    """Return the level to which water fills vessels of these sizes."""
    left = capacity
    for number, demand in enumerate(sorted(demands)):
        level = left / (len(demands) - number)
        if demand >= level:
            return level
        left -= demand
    return float("inf")


def fairness(records: list[Record]) -> float:
    """Return the lowest share of its due that an account got."""
    asked: dict[str, float] = defaultdict(float)
    got: dict[str, float] = defaultdict(float)
    for record in records:
        account = record.arrival.item.client_account
        asked[account] += _tokens(record)
        if record.outcome == Outcome.GOOD:
            got[account] += _tokens(record)
    level = _equal_part(list(asked.values()), sum(got.values()))
    return min(got[name] / min(asked[name], level) for name in asked) if asked else 1.0


def summarise(world: World) -> Summary:
    """Return the figures of a finished run."""
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
    others = [r.told_s for r in measured if r.outcome != Outcome.GOOD]
    offered = sum(_tokens(record) for record in measured)
    served = sum(_tokens(record) for record in good)
    back = [r for r in measured if r.told_back]

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
        false_refusals=sum(1 for r in measured if r.room) / count,
        p50_s=percentile([r.told_s for r in model], 0.5),
        p95_s=percentile([r.told_s for r in model], 0.95),
        p99_s=percentile([r.told_s for r in model], 0.99),
        first_p95_s=percentile([r.first_s or 0.0 for r in model], 0.95),
        urgent_p95_s=percentile([r.told_s for r in urgent], 0.95),
        told_p95_s=percentile(others, 0.95),
        fairness=fairness(measured),
        hit_share=hits / max(1, prompts),
        comebacks_served=(
            sum(1 for r in back if r.outcome == Outcome.GOOD) / len(back)
            if back
            else float("nan")
        ),
    )
