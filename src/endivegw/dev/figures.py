"""Figures that an exercise reports."""

from __future__ import annotations

from typing import Any

import attrs

__all__ = ["ExerciseFigures", "percentile"]


def percentile(values: list[float], share: float) -> float:
    """Return the value below which the given share of values lies; 0.0 for none."""
    if not values:
        return 0.0
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


@attrs.define
class ExerciseFigures:
    """Figures counted by callers and engines, independently of the code under test.

    :ivar requests: requests of callers; a retry under the same key counts as the same
        request.
    :ivar overspend_tokens: tokens consumed at engines beyond what was topped up.
    :ivar false_refusals: requests that were refused although the budget and the
        engines had capacity.
    :ivar lost: requests that got neither an answer nor a stated refusal or "unknown",
        their retries included.
    :ivar doubled: requests that may not be repeated and ran more than once.
    :ivar wrong_not_run: requests reported as "not run" that had run.
    :ivar unknown_outcomes: requests that ended with "unknown".
    :ivar cut_answers_that_looked_whole: answers that ended normally but differ from
        the expected text.
    :ivar unreconciled_tokens: difference between settled and billed tokens; must be 0.
    :ivar unsettled_tokens: tokens that are still escrowed after the planned stop.
    :ivar charged_beyond_tokens: tokens settled beyond what engines consumed. This
        happens where a process that knew the exact figure was killed.
    """

    seed: int
    requests: int = 0
    answered: int = 0
    refused: int = 0
    overspend_tokens: int = 0
    false_refusals: int = 0
    lost: int = 0
    doubled: int = 0
    wrong_not_run: int = 0
    unknown_outcomes: int = 0
    cut_answers_that_looked_whole: int = 0
    caller_retries: int = 0
    consumed_tokens: int = 0
    settled_tokens: int = 0
    charged_beyond_tokens: int = 0
    unsettled_tokens: int = 0
    unreconciled_tokens: int = 0
    p50_s: float = 0.0
    p95_s: float = 0.0
    first_token_p95_s: float = 0.0
    faults: list[str] = attrs.field(factory=list)
    refusals_by_code: dict[str, int] = attrs.field(factory=dict)
    violations: list[str] = attrs.field(factory=list)

    def as_document(self) -> dict[str, Any]:
        """Return the figures as JSON-serialisable values."""
        return attrs.asdict(self)
