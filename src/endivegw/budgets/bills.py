"""Bill lines: exactly one for each request, written to the table in batches.

At 3,900 requests per second, one row per line would need ten times the writes that the
table can carry. The lines of a router are therefore combined into one row every few
seconds, written in the transaction that settles exactly their tokens. Settled and
billed tokens cannot diverge if the router dies between the two, and a repeated write
adds nothing.
"""

from __future__ import annotations

import enum
import json
from typing import Callable, Iterable, Mapping

from attrs import evolve, frozen

from endivegw.budgets.rows import budget_key_of
from endivegw.exceptions import InvariantError
from endivegw.services import Row, RowKey
from endivegw.types import BudgetKey, Outcome, RequestIdentity

__all__ = [
    "BILL_PARTITION",
    "BillDraft",
    "BillKind",
    "BillLine",
    "BillRecord",
    "BillQueue",
    "chunk_key",
    "decode_chunk",
    "encode_chunk",
    "hour_prefix",
    "record_of_line",
]

BILL_PARTITION = "bill"

#: Maximum lines in one row. At about 150 bytes a line, a row stays under 100 KB, a
#: quarter of the row size that common table services allow.
MAX_CHUNK_LINES = 600

#: How many request identities are remembered to detect a second line.
_MAX_IDENTITIES = 50_000

_SECONDS_PER_HOUR = 3600


@frozen
class BillLine:
    """Represent the single bill line of one request, whatever its outcome.

    Its tokens are those passed to :meth:`BudgetManager.finish` for the attempts of the
    request. Tokens of a held attempt that is resolved later get a record of their own.

    :param lost_tokens: consumed by attempts whose answer was not delivered to the
        caller.
    """

    identity: RequestIdentity
    budget: BudgetKey
    prompt_tokens: int
    completion_tokens: int
    lost_tokens: int
    outcome: Outcome
    ended_at_s: float

    @property
    def charged_tokens(self) -> int:
        """Return how many tokens the budget is charged for the request."""
        return self.prompt_tokens + self.completion_tokens + self.lost_tokens


class BillKind(enum.Enum):
    """Enumerate the reasons for a bill record."""

    #: The single line of a request.
    REQUEST = "request"
    #: A held attempt that was resolved after the line of its request was written.
    RESOLVED = "resolved"
    #: Consumed under the grant of a dead router, as reported by the sidecars.
    RECOVERED = "recovered"
    #: Charged without proof of consumption because the sidecar that counted it is lost.
    WRITTEN_OFF = "written-off"
    #: Consumed by an attempt whose request had no line when the router stopped.
    UNBILLED = "unbilled"


@frozen
class BillRecord:
    """Represent one stored record of the bill.

    :param name: idempotency key of the request, id of the attempt or id of the grant,
        depending on the kind.
    :param charged_tokens: tokens that this record settles. Fewer than a request
        consumed if recovery has settled a part under the id of the grant.
    """

    kind: BillKind
    budget: BudgetKey
    name: str
    charged_tokens: int
    at_s: float
    prompt_tokens: int = 0
    completion_tokens: int = 0
    lost_tokens: int = 0
    outcome: str = ""


def record_of_line(line: BillLine) -> BillRecord:
    """Return the bill record of a request's line."""
    return BillRecord(
        kind=BillKind.REQUEST,
        budget=line.budget,
        name=line.identity.idempotency_key,
        charged_tokens=line.charged_tokens,
        at_s=line.ended_at_s,
        prompt_tokens=line.prompt_tokens,
        completion_tokens=line.completion_tokens,
        lost_tokens=line.lost_tokens,
        outcome=line.outcome.value,
    )


def _encode(record: BillRecord) -> str:
    values = [
        record.kind.value,
        str(record.budget),
        record.name,
        record.charged_tokens,
        round(record.at_s, 3),
        record.prompt_tokens,
        record.completion_tokens,
        record.lost_tokens,
        record.outcome,
    ]
    return json.dumps(values, separators=(",", ":"))


def _decode(text: str) -> BillRecord:
    values = json.loads(text)
    return BillRecord(
        BillKind(values[0]), budget_key_of(str(values[1])), str(values[2]), *values[3:]
    )


def encode_chunk(records: Iterable[BillRecord]) -> str:
    """Return the body of a row of bill records."""
    return "\n".join(_encode(record) for record in records)


def decode_chunk(row: Row) -> tuple[BillRecord, ...]:
    """Return the bill records of a row."""
    return tuple(_decode(line) for line in str(row.fields["lines"]).split("\n"))


def hour_prefix(at_s: float) -> str:
    """Return the prefix of the sort keys of rows written in an hour."""
    return f"{int(at_s) // _SECONDS_PER_HOUR:08d}"


def chunk_key(writer: str, number: int, at_s: float) -> RowKey:
    """Return the key of a row of bill records, sorted by the hour it is written."""
    return RowKey(BILL_PARTITION, f"{hour_prefix(at_s)}/{writer}/{number:08d}")


@frozen
class BillDraft:
    """Represent the records of the next row and the tokens they settle.

    :param settle_tokens: by budget, the sum of the records.
    :param recovered_tokens: by budget, tokens that recovery has settled instead.
    """

    records: tuple[BillRecord, ...]
    settle_tokens: Mapping[BudgetKey, int]
    recovered_tokens: Mapping[BudgetKey, int]


class BillQueue:
    """Queue records until they are in the table, and reject duplicate lines.

    Two lines for one request would charge a caller twice for one answer, so the second
    one is refused before it is queued.
    """

    def __init__(self) -> None:
        self._waiting: list[BillRecord] = []
        self._identities: dict[RequestIdentity, None] = {}
        self._recovered: dict[BudgetKey, int] = {}
        self.oldest_at_s: float | None = None

    def __len__(self) -> int:
        return len(self._waiting)

    def add_line(self, line: BillLine, now_s: float) -> None:
        """Queue the line of a request.

        :raises InvariantError: if the request already has a line.
        """
        if line.identity in self._identities:
            raise InvariantError(f"request {line.identity} would be billed twice")
        self._identities[line.identity] = None
        while len(self._identities) > _MAX_IDENTITIES:
            del self._identities[next(iter(self._identities))]
        self.add(record_of_line(line), now_s)

    def add(self, record: BillRecord, now_s: float) -> None:
        """Queue a record of any kind."""
        if self.oldest_at_s is None:
            self.oldest_at_s = now_s
        self._waiting.append(record)

    def record_settled_by_recovery(self, budget: BudgetKey, tokens: int) -> None:
        """Reduce the tokens charged by the lines of a budget.

        Recovery works on grants rather than requests and bills the tokens under the id
        of the grant. Charging them on a line as well would bill them twice.
        """
        if tokens:
            self._recovered[budget] = self._recovered.get(budget, 0) + tokens

    def draft(
        self, max_items: int, max_items_of: Callable[[BudgetKey], int]
    ) -> BillDraft:
        """Return the records of the next row.

        :param max_items: how many rows of the transaction may be used.
        :param max_items_of: returns how many rows settling a budget may use.
        """
        records: list[BillRecord] = []
        settle: dict[BudgetKey, int] = {}
        recovered: dict[BudgetKey, int] = {}
        for record in self._waiting[:MAX_CHUNK_LINES]:
            budget = record.budget
            if budget not in settle:
                max_items -= max_items_of(budget)
                if max_items < 0 and settle:
                    break
            remaining_tokens = self._recovered.get(budget, 0) - recovered.get(budget, 0)
            deducted_tokens = min(record.charged_tokens, remaining_tokens)
            charged_tokens = record.charged_tokens - deducted_tokens
            recovered[budget] = recovered.get(budget, 0) + deducted_tokens
            settle[budget] = settle.get(budget, 0) + charged_tokens
            records.append(evolve(record, charged_tokens=charged_tokens))
        return BillDraft(tuple(records), settle, recovered)

    def mark_written(self, draft: BillDraft, now_s: float) -> None:
        """Remove records that are now in the table."""
        del self._waiting[: len(draft.records)]
        for budget, tokens in draft.recovered_tokens.items():
            remaining_tokens = self._recovered.get(budget, 0) - tokens
            if remaining_tokens > 0:
                self._recovered[budget] = remaining_tokens
            else:
                self._recovered.pop(budget, None)
        self.oldest_at_s = now_s if self._waiting else None
