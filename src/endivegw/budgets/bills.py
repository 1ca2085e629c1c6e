"""Bill lines: exactly one for each request, batched into the table.

At 3,900 requests a second a row for each line would need ten times the writes
that the table carries. The lines of one router are put together into one row
every few seconds, in the same transaction that settles their tokens: what was
settled and what was billed cannot part, and a repeated write adds nothing.
"""

from __future__ import annotations

import enum
import json
from typing import Iterable

from attrs import frozen

from endivegw.budgets.rows import budget_key_of
from endivegw.exceptions import InvariantError
from endivegw.platform import Row, RowKey
from endivegw.types import BudgetKey, Outcome, RequestIdentity

__all__ = [
    "BILL_PARTITION",
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
    #: On a request's line already, and settled by recovery: counted once.
    TAKEN_OVER = "taken-over"


@frozen
class BillRecord:
    """Hold one record of the bill as it is kept.

    :param name: the request's key, the attempt or the grant, by kind.
    :param charged_tokens: negative for :attr:`BillKind.TAKEN_OVER`.
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


class LineQueue:
    """Hold records until they are in the table, and notice a second line.

    Two lines for one request would charge a caller twice for one answer; the
    second is refused before it is queued.
    """

    def __init__(self) -> None:
        self._waiting: list[BillRecord] = []
        self._identities: dict[RequestIdentity, None] = {}
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

    def peek(self) -> tuple[BillRecord, ...]:
        """Return what the next row holds."""
        return tuple(self._waiting[:MAX_CHUNK_LINES])

    def written(self, count: int, now_s: float) -> None:
        """Drop records that are in the table."""
        del self._waiting[:count]
        self.oldest_at_s = now_s if self._waiting else None
