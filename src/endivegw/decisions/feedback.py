"""Updates of estimates and target health from answers and load reports."""

from __future__ import annotations

from endivegw.decisions import health
from endivegw.decisions.estimates import Estimates
from endivegw.decisions.pool import Pool
from endivegw.decisions.target_state import Outstanding, TargetState
from endivegw.decisions.work import SERVICE_PREFIX, AttemptEnd, LoadFigures

__all__ = ["learn_from_answer", "record_report_speed"]


def record_report_speed(
    estimates: Estimates,
    pools: dict[str, Pool],
    state: TargetState,
    figures: LoadFigures,
) -> None:
    """Compare a target's reported speed with its peers' at the same load.

    Completed answers show a slow target too, but an answer of a target that became five
    times slower arrives five times later.
    """
    if figures.running < 2 or figures.tokens_per_s <= 0.0:
        return
    for model in state.models():
        pool = pools.get(model)
        if pool is None or model.startswith(SERVICE_PREFIX):
            continue
        load = min(1.0, figures.running / state.slots)
        step_s = figures.running / figures.tokens_per_s
        ratio = step_s / max(1e-4, estimates.speed(model).step.predict(load))
        health.record_reported_speed(state, pool, ratio)
        return


def learn_from_answer(
    estimates: Estimates,
    state: TargetState,
    attempt: Outstanding,
    end: AttemptEnd,
    now_s: float,
) -> None:
    """Update the estimates and the target's health from a complete answer.

    Times of an unhealthy target update only its health, because they would distort the
    estimates of the model.
    """
    item = attempt.item
    service_time_s = now_s - attempt.placed_s
    speed = estimates.speed(item.model)
    healthy = state.weight >= 0.5
    if item.model.startswith(SERVICE_PREFIX):
        health.record_speed(
            state, service_time_s / max(1e-3, speed.service_time_s.mean)
        )
        if healthy:
            estimates.learn_end(item, service_time_s, end.output_tokens)
        return
    if healthy:
        estimates.learn_end(item, service_time_s, end.output_tokens)
    if attempt.first_s is None or end.output_tokens < 8:
        return
    step_s = (now_s - attempt.first_s) / (end.output_tokens - 1)
    load = min(1.0, 0.5 * (attempt.load + state.load()) + 1.0 / state.slots)
    expected_s = speed.step.predict(load)
    if expected_s > 0.0:
        health.record_speed(state, step_s / expected_s)
    if healthy:
        estimates.learn_step(item.model, load, step_s)
