"""Encoding of calls to the row store that one router makes for another."""

from __future__ import annotations

import base64
import json
from typing import Any

from attrs import asdict, frozen

from endivegw.results import Done, Reason, Refused, Unknown
from endivegw.services.row_store import (
    Changes,
    Conflict,
    ExpectedRow,
    NewRow,
    StoredRow,
    StoreTimestamp,
)

__all__ = [
    "ListCall",
    "RowsResult",
    "WriteCall",
    "decode_call",
    "decode_result",
    "encode_call",
    "encode_result",
]


@frozen
class WriteCall:
    """A transaction; see :meth:`RowsPort.transact`."""

    expected: tuple[ExpectedRow, ...]
    puts: tuple[NewRow, ...]
    deletes: tuple[ExpectedRow, ...]
    timeout_s: float


@frozen
class ListCall:
    """A listing; see :meth:`RowsPort.list_rows`."""

    table: str
    partition: str
    timeout_s: float


RowsResult = Done[StoreTimestamp] | Done[Changes] | Conflict | Refused | Unknown


def encode_call(call: WriteCall | ListCall) -> bytes:
    """Return a call as a request body."""
    match call:
        case WriteCall():
            document: dict[str, Any] = {
                "expected": [asdict(row) for row in call.expected],
                "puts": [
                    {**asdict(row), "value": _text(row.value)} for row in call.puts
                ],
                "deletes": [asdict(row) for row in call.deletes],
                "timeout_s": call.timeout_s,
            }
        case ListCall():
            document = {"list": asdict(call)}
    return json.dumps(document, separators=(",", ":")).encode()


def decode_call(body: bytes) -> WriteCall | ListCall | None:
    """Return the call of a request body, None if it is malformed."""
    try:
        document = json.loads(body)
        if "list" in document:
            return ListCall(**document["list"])
        return WriteCall(
            expected=tuple(ExpectedRow(**row) for row in document["expected"]),
            puts=tuple(
                NewRow(**{**row, "value": _bytes(row["value"])})
                for row in document["puts"]
            ),
            deletes=tuple(ExpectedRow(**row) for row in document["deletes"]),
            timeout_s=float(document["timeout_s"]),
        )
    except (ValueError, TypeError, KeyError):
        return None


def encode_result(result: RowsResult) -> bytes:
    """Return the result of a call as an answer body."""
    match result:
        case Done(Changes(rows, timestamp)):
            document: list[Any] = ["listed", *_rows(rows, timestamp)]
        case Done(StoreTimestamp() as timestamp):
            document = ["done", *_rows((), timestamp)]
        case Conflict(rows, timestamp):
            document = ["conflict", *_rows(rows, timestamp)]
        case Refused(reason, detail, retry_after_s):
            document = ["refused", reason.value, detail, retry_after_s]
        case Unknown(reason, detail):
            document = ["unknown", reason.value, detail]
        case _:
            document = ["unknown", Reason.ANSWER_LOST.value, "unexpected result"]
    return json.dumps(document, separators=(",", ":")).encode()


def decode_result(body: bytes) -> RowsResult:
    """Return the result in an answer body; a malformed one is an unknown outcome."""
    try:
        match json.loads(body):
            case ["listed", rows, timestamp]:
                return Done(Changes(_decode_rows(rows), StoreTimestamp(*timestamp)))
            case ["done", [], timestamp]:
                return Done(StoreTimestamp(*timestamp))
            case ["conflict", rows, timestamp]:
                return Conflict(_decode_rows(rows), StoreTimestamp(*timestamp))
            case ["refused", reason, detail, retry_after_s]:
                return Refused(Reason(reason), detail, retry_after_s)
            case ["unknown", reason, detail]:
                return Unknown(Reason(reason), detail)
    except (ValueError, TypeError):
        pass
    return Unknown(Reason.ANSWER_LOST, "malformed answer of a peer")


def _rows(rows: tuple[StoredRow, ...], timestamp: StoreTimestamp) -> list[Any]:
    encoded = [{**asdict(row), "value": _text(row.value)} for row in rows]
    return [encoded, [timestamp.revision, timestamp.now_ms]]


def _decode_rows(rows: list[dict[str, Any]]) -> tuple[StoredRow, ...]:
    return tuple(StoredRow(**{**row, "value": _bytes(row["value"])}) for row in rows)


def _text(value: bytes) -> str:
    return base64.b64encode(value).decode()


def _bytes(value: str) -> bytes:
    return base64.b64decode(value, validate=True)
