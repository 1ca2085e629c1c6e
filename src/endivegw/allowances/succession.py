"""Upper bound on the use of a dead router, from its row and its witnesses."""

from __future__ import annotations

import math

from endivegw.allowances.funds import Growth, Terms
from endivegw.allowances.rows import HolderRow
from endivegw.allowances.witness_reports import WitnessReport
from endivegw.types import ClientAccountName, InstanceId

__all__ = ["NOBODY", "settled_row", "max_used_tokens"]

#: The process named by a settled row, which no router uses any more.
NOBODY = InstanceId("")


def max_used_tokens(
    row: HolderRow, report: WitnessReport, growth: Growth
) -> dict[ClientAccountName, int]:
    """Return the most that a router may have used of each account when it ended.

    :param report: the combined report of its witnesses.
    """
    used_tokens = {}
    for account, terms in row.terms.items():
        permitted_tokens = terms.limit_at_tokens(report.alive_until_ms, growth)
        outright_tokens = terms.limit_tokens if row.outright else -math.inf
        used_tokens[account] = report.used_tokens(
            account,
            outright_tokens,
            permitted_tokens,
            terms.as_of_ms,
            terms.limit_tokens,
        )
    return used_tokens


def settled_row(row: HolderRow, used_tokens: dict[ClientAccountName, int]) -> HolderRow:
    """Return a row that belongs to no process and records a router's unused tokens.

    Its limits do not grow and it names no witnesses, so that every reader counts
    exactly the recorded use.
    """
    terms = {
        account: Terms(
            recorded.drawn_tokens, used_tokens[account], 0, recorded.as_of_ms
        )
        for account, recorded in row.terms.items()
        if recorded.drawn_tokens > used_tokens[account]
    }
    return HolderRow(
        NOBODY, 0, terms, outright=True, validity_s=row.validity_s, needed=0
    )
