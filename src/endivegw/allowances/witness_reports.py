"""What the witnesses of a dead router know of its use."""

from __future__ import annotations

import math
from typing import Mapping

from attrs import frozen

from endivegw.allowances.witnesses import (
    GRACE_MS,
    WAIVER_MS,
    Statement,
    majority,
    reached_by,
)
from endivegw.types import ClientAccountName, InstanceId

__all__ = ["WitnessReport", "witness_report"]


@frozen
class _Group:
    """Witnesses that answered a reader.

    :param overlap: how many of them had at least acknowledged each use.
    """

    statements: tuple[Statement, ...]
    overlap: int

    def reached_by(self, values: list[float]) -> float:
        """Return the largest value that one of those who acknowledged must have."""
        return reached_by(self.overlap, values)


@frozen
class WitnessReport:
    """Combined report of the witnesses of a dead router.

    :param alive_until_ms: latest time, on the store's clock, through which it may have
        used what its limits grew by.
    :param final_statements: final statements; each is the exact use.
    :param groups: groups of witnesses, each of which bounds the use; empty if too few
        answered, so that only the row is known.
    """

    alive_until_ms: float
    final_statements: tuple[Statement, ...] = ()
    groups: tuple[_Group, ...] = ()

    def used_tokens(
        self,
        account: ClientAccountName,
        outright_tokens: float,
        row_limit_tokens: int,
        as_of_ms: float = -math.inf,
        recorded_tokens: float = -math.inf,
    ) -> int:
        """Return the most that the dead router can have used of an account.

        :param outright_tokens: what its row allowed regardless of acknowledgements;
            minus infinity if witnesses had to acknowledge first.
        :param row_limit_tokens: what the row's limit had grown to when it died.
        :param as_of_ms: time of the row on the store's clock.
        :param recorded_tokens: the row's limit at that time.
        """
        for statement in self.final_statements:
            if account in statement.limits:
                return statement.limits[account]
        usable_tokens = math.inf
        for group in self.groups:
            limits = []
            for statement in group.statements:
                limit = statement.limit_tokens(account)
                # A row has whole milliseconds. What was used before it was written need
                # not be covered by what its witnesses received before.
                is_older = statement.clock_ms < as_of_ms + 1.0
                limits.append(max(limit, recorded_tokens) if is_older else limit)
            usable_tokens = min(usable_tokens, group.reached_by(limits))
        usable_tokens = max(outright_tokens, usable_tokens)
        return (
            row_limit_tokens
            if usable_tokens == -math.inf
            else int(min(row_limit_tokens, usable_tokens))
        )


def witness_report(
    witnesses: tuple[InstanceId, ...],
    received: Mapping[InstanceId, Statement],
    ended_ms: float,
    needed: int | None = None,
    as_of_ms: float = -math.inf,
) -> WitnessReport:
    """Combine the answers of the witnesses of a dead router.

    :param received: the last statement of each witness that answered.
    :param ended_ms: a time on the store's clock at which it was certainly dead.
    :param needed: how many witnesses had to acknowledge each use, unless they had
        waived; by default a majority.
    :param as_of_ms: time of the row on the store's clock. A witness that has waived
        since may not know all that was used.
    """
    statements = tuple(received[name] for name in witnesses if name in received)
    final = tuple(statement for statement in statements if statement.final)
    if final:
        return WitnessReport(ended_ms, final)
    count = len(witnesses)
    if needed is None:
        needed = majority(count)
    waited_for = tuple(last for last in statements if not last.waived_since(as_of_ms))
    groups = []
    for group, acknowledged in (
        (waited_for, min(needed, count)),
        (statements, majority(count)),
    ):
        overlap = acknowledged - (count - len(group))
        if group and overlap >= 1:
            groups.append(_Group(group, overlap))
    bounds_ms = [
        found.reached_by([last.clock_ms for last in found.statements]) + GRACE_MS
        for found in groups
    ]
    bounds_ms += [
        max(last.clock_ms + GRACE_MS, last.waived_ms + WAIVER_MS)
        for last in statements
        if last.waived_since(as_of_ms)
    ]
    # Datagrams have the clock in whole milliseconds.
    alive_until_ms = min(bounds_ms, default=ended_ms) + 1.0
    return WitnessReport(min(ended_ms, alive_until_ms), (), tuple(groups))
