"""Bill lines: exactly one for each request, batched into the table.

At 3,900 requests a second a row for each line would need ten times the writes
that the table carries. The lines of one router are put together into one row
every few seconds, in the transaction that settles exactly their tokens: what was
settled and what was billed cannot part when the router dies between the two, and
a repeated write adds nothing.
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
    "LineQueue",
    "chunk_key",
    "decode_chunk",
    "encode_chunk",
    "hour_prefix",
    "record_of_line",
]

BILL_PARTITION = "bill"

#: Lines in one row. At about 150 bytes a line this stays under 100 KB, a quarter
#: of what the common table services allow for a row.
MAX_CHUNK_LINES = 600

#: How many identities are kept to notice a second line for a request.
_MAX_IDENTITIES = 50_000

_SECONDS_PER_HOUR = 3600


@frozen
class BillLine:
    """Hold the one line of one request, whatever became of it on the way.

    Its tokens are those that :meth:`BudgetKeeper.finish` was told of for its
    attempts; tokens of a held attempt that is resolved later get a record of
    their own.

    :param lost_tokens: consumed by attempts whose answer was not the one given.
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
        """Return what the budget is charged for the request."""
        return self.prompt_tokens + self.completion_tokens + self.lost_tokens


class BillKind(enum.Enum):
    """What a record stands for."""

    #: The one line of a request.
    REQUEST = "request"
    #: A held attempt that was resolved after its request's line.
    RESOLVED = "resolved"
    #: Consumed under a dead router's grant, collected from the sidecars.
    RECOVERED = "recovered"
    #: Charged without proof of consumption: the sidecar that knew is gone.
    WRITTEN_OFF = "written-off"
    #: Consumed by an attempt whose request got no line until a planned stop.
    UNBILLED = "unbilled"


@frozen
class BillRecord:
    """Hold one record of the bill as it is kept.

    :param name: the request's key, the attempt or the grant, by kind.
    :param charged_tokens: what this record settles. Less than a request
        consumed where recovery has settled a part under the grant's name.
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
    """Return the record of a request's line."""
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
    """Return the records of a row."""
    return tuple(_decode(line) for line in str(row.fields["lines"]).split("\n"))


def hour_prefix(at_s: float) -> str:
    """Return what the sort keys of an hour's rows begin with."""
    return f"{int(at_s) // _SECONDS_PER_HOUR:08d}"


def chunk_key(writer: str, number: int, at_s: float) -> RowKey:
    """Return the key of a row of bill records, in order of the hour written."""
    return RowKey(BILL_PARTITION, f"{hour_prefix(at_s)}/{writer}/{number:08d}")


@frozen
class BillDraft:
    """Hold the records of the next row and what they settle.

    :param settle_tokens: by budget, the sum of the records.
    :param recovered_tokens: by budget, what recovery has settled in their place.
    """

    records: tuple[BillRecord, ...]
    settle_tokens: Mapping[BudgetKey, int]
    recovered_tokens: Mapping[BudgetKey, int]


class LineQueue:
    """Hold records until they are in the table, and notice a second line.

    Two lines for one request would charge a caller twice for one answer; the
    second is refused before it is queued.
    """

    def __init__(self) -> None:
        self._waiting: list[BillRecord] = []
        self._identities: dict[RequestIdentity, None] = {}
        self._recovered: dict[BudgetKey, int] = {}
        self.oldest_at_s: float | None = None

    def __len__(self) -> int:
        return len(self._waiting)

    def add_line(self, line: BillLine, now_s: float) -> None:
        """Queue a request's line.

        :raises InvariantError: where the request has a line already.
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

    def settled_by_recovery(self, budget: BudgetKey, tokens: int) -> None:
        """Charge that much less on this budget's lines.

        Recovery, which knows grants and not requests, bills the tokens under
        the grant's name; on a line as well they would be charged twice.
        """
        if tokens:
            self._recovered[budget] = self._recovered.get(budget, 0) + tokens

    def draft(self, room_items: int, items_of: Callable[[BudgetKey], int]) -> BillDraft:
        """Return what the next row holds.

        :param room_items: how many rows the same write may touch.
        :param items_of: how many rows it touches to settle a budget.
        """
        records: list[BillRecord] = []
        settle: dict[BudgetKey, int] = {}
        recovered: dict[BudgetKey, int] = {}
        for record in self._waiting[:MAX_CHUNK_LINES]:
            budget = record.budget
            if budget not in settle:
                room_items -= items_of(budget)
                if room_items < 0 and settle:
                    break
            left_tokens = self._recovered.get(budget, 0) - recovered.get(budget, 0)
            less_tokens = min(record.charged_tokens, left_tokens)
            charged_tokens = record.charged_tokens - less_tokens
            recovered[budget] = recovered.get(budget, 0) + less_tokens
            settle[budget] = settle.get(budget, 0) + charged_tokens
            records.append(evolve(record, charged_tokens=charged_tokens))
        return BillDraft(tuple(records), settle, recovered)

    def written(self, draft: BillDraft, now_s: float) -> None:
        """Drop records that are in the table."""
        del self._waiting[: len(draft.records)]
        for budget, tokens in draft.recovered_tokens.items():
            left_tokens = self._recovered.get(budget, 0) - tokens
            if left_tokens > 0:
                self._recovered[budget] = left_tokens
            else:
                self._recovered.pop(budget, None)
        self.oldest_at_s = now_s if self._waiting else None
