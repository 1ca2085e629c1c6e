"""Test oracle: compares the records of engines and callers.

The records are kept independently of the code under test.
"""

from __future__ import annotations

import math
from collections import Counter
from typing import Iterable

from attrs import define, field, frozen

from endivegw.budgets.bills import BillRecord
from endivegw.budgets.reconcile import read_bill, reconcile
from endivegw.budgets.rows import BudgetRow
from endivegw.dev.calls import RUN_ONCE, Call
from endivegw.dev.figures import ExerciseFigures, percentile
from endivegw.dev.fleet import DevFleet
from endivegw.dev.sample import SampleAccount
from endivegw.exceptions import PlatformError
from endivegw.queries.budgets import list_budgets
from endivegw.results import Done, Reason
from endivegw.types import BudgetKey, ClientAccountName, Outcome
from endivegw_standins.engine_text import answer_text

__all__ = ["Oracle", "RecordedTopUp"]

_TIMEOUT_S = 5.0


@frozen
class RecordedTopUp:
    """A top-up and the time at which it was accepted."""

    client_account: ClientAccountName
    tokens: int
    at_s: float


@define
class _RunRecord:
    """Work of engines and services for one call.

    :ivar started_s: time of the first start, on the clock of the calls.
    """

    starts: int = 0
    tokens: int = 0
    started_s: float = math.inf


@define
class Oracle:
    """Compare the outcomes reported to callers with the runs of engines."""

    fleet: DevFleet
    top_ups: list[RecordedTopUp]
    calls: list[Call] = field(factory=list)

    async def evaluate(self, figures: ExerciseFigures) -> None:
        """Fill in the figures and list the invariants that were violated."""
        runs = self._read_runs()
        figures.requests = len(self.calls)
        for call in self.calls:
            self._evaluate_call(call, runs, figures)
        self._evaluate_budgets(runs, figures)
        await self._evaluate_bill(figures)
        answered = [c.result for c in self.calls if c.result and _was_answered(c)]
        elapsed = [result.elapsed_s for result in answered]
        first = [e.first_data_s for e in answered if e.first_data_s is not None]
        figures.p50_s = round(percentile(elapsed, 0.5), 4)
        figures.p95_s = round(percentile(elapsed, 0.95), 4)
        figures.first_token_p95_s = round(percentile(first, 0.95), 4)
        figures.caller_retries = sum(c.send_count - 1 for c in self.calls)
        figures.violations += _violated_invariants(figures)

    def consumed_tokens(self, account: SampleAccount) -> int:
        """Return the tokens that engines have consumed for an account."""
        total = 0
        for engine in self.fleet.engines.values():
            for attempt_id, count in engine.consumed.items():
                name = engine.generations[attempt_id].prompt.text.split()[0]
                if name.endswith(f"-{account.client_account}"):
                    total += count.prompt_tokens + count.completion_tokens
        return total

    def _read_runs(self) -> dict[str, _RunRecord]:
        runs: dict[str, _RunRecord] = {}
        for engine in self.fleet.engines.values():
            for attempt_id, count in engine.consumed.items():
                name = engine.generations[attempt_id].prompt.text.split()[0]
                run = runs.setdefault(name, _RunRecord())
                run.starts += count.starts
                run.started_s = min(run.started_s, count.started_s)
                run.tokens += count.prompt_tokens + count.completion_tokens
        for service in self.fleet.services.values():
            for body, calls in Counter(service.bodies).items():
                run = runs.setdefault(body.decode(), _RunRecord())
                run.starts += calls
                run.started_s = min(run.started_s, service.started_s[body])
        return runs

    def _evaluate_call(
        self, call: Call, runs: dict[str, _RunRecord], figures: ExerciseFigures
    ) -> None:
        run = runs.get(call.name, _RunRecord())
        if call.kind in RUN_ONCE and run.starts > 1:
            figures.doubled += 1
            figures.violations.append(f"{call.name} ran {run.starts} times")
        if _has_false_not_run(call, run):
            figures.wrong_not_run += 1
            summary = f"{call.name} ({call.kind.value}) ran but was reported as not run"
            figures.violations.append(f"{summary}: {_describe_sends(call)}")
        result = call.result
        if result is None or result.outcome is None:
            figures.lost += 1
            figures.violations.append(_describe_lost(call))
            return
        match result.outcome:
            case Outcome.ANSWERED:
                figures.answered += 1
                if result.text != _expected_text(call):
                    figures.cut_answers_that_looked_whole += 1
                    figures.violations.append(f"{call.name} got a wrong answer")
            case Outcome.UNKNOWN:
                figures.unknown_outcomes += 1
            case Outcome.NOT_RUN:
                self._evaluate_refusal(call, runs, figures)

    def _evaluate_refusal(
        self, call: Call, runs: dict[str, _RunRecord], figures: ExerciseFigures
    ) -> None:
        assert call.result is not None
        figures.refused += 1
        codes = figures.refusals_by_code
        codes[call.result.code] = codes.get(call.result.code, 0) + 1
        if call.result.code != Reason.BUDGET_EXHAUSTED.value:
            # The engines have capacity for several times this load.
            figures.false_refusals += 1
            return
        if self._remaining_tokens(call, runs) >= call.estimated_tokens:
            figures.false_refusals += 1

    def _remaining_tokens(self, call: Call, runs: dict[str, _RunRecord]) -> int:
        """Return the account's balance at the time when a call was refused.

        Calls that had started by then count with their final consumption, because the
        lengths of their answers were not known yet.
        """
        account = call.account.client_account
        topped_up_tokens = sum(
            top_up.tokens
            for top_up in self.top_ups
            if top_up.client_account == account and top_up.at_s <= call.ended_at_s
        )
        consumed_tokens = sum(
            runs.get(other.name, _RunRecord()).tokens
            for other in self.calls
            if other.account is call.account and other.started_at_s <= call.ended_at_s
        )
        return topped_up_tokens - consumed_tokens

    def _evaluate_budgets(
        self, runs: dict[str, _RunRecord], figures: ExerciseFigures
    ) -> None:
        figures.consumed_tokens = sum(run.tokens for run in runs.values())
        for account in self.fleet.accounts:
            topped_up_tokens = sum(
                top_up.tokens
                for top_up in self.top_ups
                if top_up.client_account == account.client_account
            )
            overspent_tokens = self.consumed_tokens(account) - topped_up_tokens
            figures.overspend_tokens += max(0, overspent_tokens)

    async def _evaluate_bill(self, figures: ExerciseFigures) -> None:
        for row in await self._read_budget_rows():
            records = await self._read_bill_records(row.budget)
            reconciliation = reconcile(row, records)
            figures.settled_tokens += row.settled_tokens
            figures.unsettled_tokens += row.granted_tokens
            figures.unreconciled_tokens += abs(reconciliation.difference_tokens)
            if reconciliation.doubled:
                figures.violations.append(f"billed twice: {reconciliation.doubled}")
        excess_tokens = figures.settled_tokens - figures.consumed_tokens
        figures.charged_beyond_tokens = max(0, excess_tokens)

    async def _read_bill_records(self, budget: BudgetKey) -> list[BillRecord]:
        records: list[BillRecord] = []
        async for record in read_bill(self.fleet.platform.table, budget):
            if not isinstance(record, BillRecord):
                raise PlatformError(f"cannot read the bill of {budget}: {record}")
            records.append(record)
        return records

    async def _read_budget_rows(self) -> Iterable[BudgetRow]:
        result = await list_budgets(self.fleet.platform.table, timeout_s=_TIMEOUT_S)
        if isinstance(result, Done):
            return result.value
        raise PlatformError(f"cannot read the budget rows: {result}")


def _has_false_not_run(call: Call, run: _RunRecord) -> bool:
    """Return whether a call was reported as "not run" although it had started.

    For a call that must run at most once, "not run" covers all earlier sends as well.
    For other calls it covers one send, and nothing may have run if all sends were
    reported as "not run".
    """
    if call.kind not in RUN_ONCE:
        return bool(run.starts) and _was_always_refused(call)
    started_s = run.started_s - call.started_at_s
    refused = [send for send in call.send_results if send.outcome is Outcome.NOT_RUN]
    return any(send.ended_s > started_s for send in refused)


def _was_always_refused(call: Call) -> bool:
    ended = len(call.send_results) == call.send_count
    return ended and all(send.outcome is Outcome.NOT_RUN for send in call.send_results)


def _was_answered(call: Call) -> bool:
    return call.result is not None and call.result.outcome is Outcome.ANSWERED


def _describe_lost(call: Call) -> str:
    """Describe a lost call with the result of each send."""
    running = "" if call.result else ", still in progress at the end"
    kind = call.kind.value
    return (
        f"{call.name} ({kind}) lost in {call.send_count} sends{running}: "
        f"{_describe_sends(call)}"
    )


def _describe_sends(call: Call) -> str:
    return "; ".join(str(send) for send in call.send_results)


def _expected_text(call: Call) -> str:
    if call.is_service:
        return call.name
    prompt = f"{call.name} len={call.max_tokens}"
    return answer_text(prompt, call.max_tokens)


def _violated_invariants(figures: ExerciseFigures) -> list[str]:
    found = []
    if figures.overspend_tokens:
        found.append(f"overspend of {figures.overspend_tokens} tokens")
    if figures.lost:
        found.append(f"{figures.lost} requests lost")
    if figures.unreconciled_tokens:
        found.append(f"{figures.unreconciled_tokens} tokens not billed as settled")
    missing_tokens = (
        figures.consumed_tokens - figures.settled_tokens - figures.unsettled_tokens
    )
    if missing_tokens > 0:
        found.append(
            f"{missing_tokens} consumed tokens are neither settled nor escrowed"
        )
    return found
