"""What a router learns from answers and reports."""

from __future__ import annotations

from endivegw.decisions import health
from endivegw.decisions.estimates import Estimates
from endivegw.decisions.pool import Pool
from endivegw.decisions.target_state import Outstanding, TargetState
from endivegw.decisions.work import SERVICE_PREFIX, AttemptEnd, LoadFigures

__all__ = ["judge_load", "learn"]


def judge_load(
    estimates: Estimates,
    pools: dict[str, Pool],
    state: TargetState,
    figures: LoadFigures,
) -> None:
    """Compare the target's own speed with its peers' at the same load.

    Answers tell it too, but an answer of a target that became five times
    slower takes five times as long to tell it.
    """
    if figures.running < 2 or figures.tokens_per_s <= 0.0:
        return
    for model in state.models():
        pool = pools.get(model)
        if pool is None or model.startswith(SERVICE_PREFIX):
            continue
        load = min(1.0, figures.running / state.slots)
        step_s = figures.running / figures.tokens_per_s
        ratio = step_s / max(1e-4, estimates.speed(model).step.at(load))
        health.judge_report(state, pool, ratio)
        return


def learn(
    estimates: Estimates,
    state: TargetState,
    attempt: Outstanding,
    end: AttemptEnd,
    now_s: float,
) -> None:
    """Learn speeds and lengths from a whole answer, and judge its target.

    What a sick target took would teach wrong speeds and is left out.
    """
    item = attempt.item
    held_s = now_s - attempt.placed_s
    speed = estimates.speed(item.model)
    well = state.weight >= 0.5
    if item.model.startswith(SERVICE_PREFIX):
        health.judge_speed(state, held_s / max(1e-3, speed.held_s.mean))
        if well:
            estimates.learn_end(item, held_s, end.output_tokens)
        return
    if well:
        estimates.learn_end(item, held_s, end.output_tokens)
    if attempt.first_s is None or end.output_tokens < 8:
        return
    step_s = (now_s - attempt.first_s) / (end.output_tokens - 1)
    load = min(1.0, 0.5 * (attempt.load + state.load()) + 1.0 / state.slots)
    expected_s = speed.step.at(load)
    if expected_s > 0.0:
        health.judge_speed(state, step_s / expected_s)
    if well:
        estimates.learn_step(item.model, load, step_s)
