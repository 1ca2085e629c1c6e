"""The platform's metadata store as the product's port of versioned rows."""

from __future__ import annotations

import base64
import binascii
import json
from typing import Any, Mapping
from urllib.parse import urlencode

from endivegw.results import Done, Reason, Refused, Unknown
from endivegw.services.http_calls import (
    HttpCaller,
    HttpResponse,
    read_failure,
    write_failure,
)
from endivegw.services.row_store import (
    Changes,
    Conflict,
    ExpectedRow,
    HistoryGone,
    NewRow,
    StoredRow,
    StoreTimestamp,
)

__all__ = ["PlatformStore"]

#: Rows of one page of a listing; the store's own bound.
_PAGE_ROWS = 500

#: How long one answer may take while it goes on coming. The largest, a page of 1 MB,
#: takes 3 s over a link of 5 Mbit/s that carries as much again for callers.
_LONGEST_ANSWER_S = 6.0

_JSON = {"content-type": "application/json"}


class PlatformStore:
    """Call the store; it answers ``429`` and ``503`` only where nothing was done."""

    def __init__(self, address: str) -> None:
        self._caller = HttpCaller(f"http://{address}")

    async def transact(
        self,
        expected: tuple[ExpectedRow, ...],
        puts: tuple[NewRow, ...],
        *,
        deletes: tuple[ExpectedRow, ...] = (),
        timeout_s: float,
    ) -> Done[StoreTimestamp] | Conflict | Refused | Unknown:
        """Write all or nothing."""
        document = {
            "ExpectedRevision": [
                {**_key(row), "ResourceVersion": row.revision}
                for row in expected + deletes
            ],
            "SetKeys": [
                {**_key(row), "Value": base64.b64encode(row.value).decode()}
                for row in puts
            ],
            "Remove": [_key(row) for row in deletes],
        }
        body = json.dumps(document, separators=(",", ":")).encode()
        answer = await self._caller.call(
            "POST", "/rows-tx", fields=_JSON, body=body, timeout_s=timeout_s
        )
        if not isinstance(answer, HttpResponse):
            return write_failure(answer)
        if answer.status not in (200, 412):
            return _refused(answer)
        try:
            content = json.loads(answer.body)
            if answer.status == 200:
                return Done(_moment(content))
            return Conflict(_rows(content), _moment(content))
        except (ValueError, TypeError, KeyError) as error:
            return Unknown(Reason.ANSWER_LOST, f"not an answer of the store: {error}")

    async def list_rows(
        self, table: str, *, timeout_s: float, partition: str = ""
    ) -> Done[Changes] | Refused | Unknown:
        """Return all rows of a partition; pages after the first may be newer."""
        rows: list[StoredRow] = []
        timestamp: StoreTimestamp | None = None
        query: dict[str, str] = {"Table": table, "part": partition}
        query["Limit"] = str(_PAGE_ROWS)
        while True:
            content = await self._read("/rows-get", query, timeout_s)
            if isinstance(content, (Refused, Unknown)):
                return content
            try:
                page = _rows(content)
                timestamp = timestamp or _moment(content)
                more = bool(content.get("MorePages"))
            except (ValueError, TypeError, KeyError) as error:
                return Refused(Reason.ANSWER_LOST, f"not a listing: {error}")
            rows += page
            if not more or not page:
                # Changes after the first page's moment come with the feed.
                return Done(Changes(tuple(rows), timestamp))
            query["From"] = page[-1].key + "\0"

    async def watch(
        self, table: str, after_revision: int, *, wait_s: float, timeout_s: float
    ) -> Done[Changes] | HistoryGone | Refused | Unknown:
        """Return the changes since a revision, as soon as there is one."""
        query = {
            "Table": table,
            "AfterRevision": str(after_revision),
            "WaitMs": str(int(wait_s * 1000)),
        }
        content = await self._read("/rows-feed", query, timeout_s)
        if isinstance(content, Refused) and content.reason is Reason.NOT_FOUND:
            return HistoryGone()
        if isinstance(content, (Refused, Unknown)):
            return content
        try:
            return Done(Changes(_rows(content), _moment(content)))
        except (ValueError, TypeError, KeyError) as error:
            return Refused(Reason.ANSWER_LOST, f"not a list of changes: {error}")

    async def close(self) -> None:
        """Close all connections."""
        await self._caller.close()

    async def _read(
        self, path: str, query: Mapping[str, str], timeout_s: float
    ) -> dict[str, Any] | Refused | Unknown:
        answer = await self._caller.call(
            "GET",
            f"{path}?{urlencode(query)}",
            timeout_s=timeout_s,
            max_total_s=_LONGEST_ANSWER_S,
        )
        if not isinstance(answer, HttpResponse):
            return read_failure(answer)
        if answer.status == 410:
            return Refused(Reason.NOT_FOUND, "the history is no longer available")
        if answer.status != 200:
            return _refused(answer)
        try:
            content = json.loads(answer.body)
        except ValueError as error:
            return Refused(Reason.ANSWER_LOST, f"not JSON: {error}")
        if not isinstance(content, dict):
            return Refused(Reason.ANSWER_LOST, "not an object")
        return content


def _key(row: ExpectedRow | NewRow) -> dict[str, str]:
    # "part" is the store's name of a partition.
    return {"Table": row.table, "part": row.partition, "Key": row.key}


def _moment(content: Mapping[str, Any]) -> StoreTimestamp:
    return StoreTimestamp(int(content["ResourceVersion"]), int(content["NowMs"]))


def _rows(content: Mapping[str, Any]) -> tuple[StoredRow, ...]:
    found = []
    for row in content["Rows"]:
        deleted = bool(row.get("Tombstone"))
        decoded = _decoded(row.get("Value") or "")
        # An absent row of a conflict has the revision 0.
        revision = int(row.get("ResourceVersion") or 0)
        deleted = deleted or revision == 0
        found.append(StoredRow(row["Table"], row["Key"], decoded, revision, deleted))
    return tuple(found)


def _decoded(value: Any) -> bytes:
    """Return a row's bytes, none where they cannot be read.

    Other writers' rows stand in the same tables. Their readers say of an empty row
    that it does not decode; to fail the listing here would take all other rows away
    with it, and a router that starts then would never know a target.
    """
    try:
        return base64.b64decode(value, validate=True)
    except (binascii.Error, ValueError, TypeError):
        return b""


def _refused(answer: HttpResponse) -> Refused:
    reason = Reason.THROTTLED if answer.status == 429 else Reason.UNREACHABLE
    detail = f"the store answered {answer.status}"
    return Refused(reason, detail, answer.retry_after_s())
