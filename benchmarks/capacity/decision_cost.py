"""CPU time of a dispatch decision with the production classes at several sizes."""

from __future__ import annotations

import random
import time

from benchmarks.capacity.fitting import Fit, Point, fit_line

from endivegw.decisions import (
    AttemptEnd,
    AttemptKind,
    Dispatcher,
    LoadFigures,
    Placement,
    Policy,
    TargetView,
    WorkItem,
)
from endivegw.types import (
    AvailabilityZone,
    ClientAccountName,
    InstanceId,
    Priority,
    TargetName,
)

__all__ = ["measure_dispatch"]

_MODELS = ("badge-1", "plan-1", "talk-1")
_ZONE = AvailabilityZone("zone-0")
_REQUESTS = 3000


def measure_dispatch() -> Fit:
    """Fit CPU seconds per request over the number of known targets."""
    return fit_line([Point(size, _seconds_per_request(size)) for size in (12, 48, 192)])


def _seconds_per_request(size: int) -> float:
    dispatcher = Dispatcher(Policy(), _ZONE, random.Random(1))
    dispatcher.set_targets([_target(number) for number in range(size)], 0.0)
    for number in range(size):
        figures = LoadFigures(5, 0, 64, 1300.0, 0.5, (_MODELS[number % 3],))
        dispatcher.report(_target(number).target, figures, 0.0)
    started_s = time.process_time()
    for number in range(_REQUESTS):
        _one_request(dispatcher, number, number / 10)
    return (time.process_time() - started_s) / _REQUESTS


def _one_request(dispatcher: Dispatcher, number: int, now_s: float) -> None:
    item = WorkItem(
        request_id=f"request-{number}",
        client_account=ClientAccountName(f"account-{number % 280}"),
        priority=Priority.NORMAL,
        weight=1.0,
        model=_MODELS[number % 3],
        deadline_s=now_s + 30.0,
        prompt_tokens=200,
        output_tokens=205,
        arrived_s=now_s,
        prefix_digests=tuple(bytes([number % 7, n]) for n in range(8)),
    )
    placed = dispatcher.submit(item, now_s)
    if not isinstance(placed, Placement):
        raise RuntimeError(f"request {item.request_id} was not placed: {placed}")
    dispatcher.started(item.request_id, now_s)
    dispatcher.first_token(item.request_id, now_s + 0.5)
    end = AttemptEnd(AttemptKind.OK, 200, 205)
    dispatcher.ended(item.request_id, placed.target, end, now_s + 5.0)


def _target(number: int) -> TargetView:
    return TargetView(
        TargetName(f"engine-{number:04d}"),
        InstanceId(f"vm-{number:05d}-0123456789ab"),
        f"10.0.{number // 250}.{number % 250}",
        _ZONE,
        frozenset((_MODELS[number % 3],)),
        64,
    )
