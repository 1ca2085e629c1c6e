"""Client of the platform's metadata store, as a port of versioned rows."""

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

#: Maximum number of rows per page of a listing, which the store defines.
_PAGE_ROWS = 500

#: Maximum time of one answer while its data keeps arriving. The largest answer, a page
#: of 1 MB, takes 3 s over a link of 5 Mbit/s that carries as much traffic of callers.
_MAX_ANSWER_S = 6.0

_JSON = {"content-type": "application/json"}


class PlatformStore:
    """Call the store.

    The store answers ``429`` and ``503`` only if the call had no effect.
    """

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
        """Write all rows or none."""
        document = {
            "ExpectedRevision": [
                {**_row_key(row), "ResourceVersion": row.revision}
                for row in expected + deletes
            ],
            "SetKeys": [
                {**_row_key(row), "Value": base64.b64encode(row.value).decode()}
                for row in puts
            ],
            "Remove": [_row_key(row) for row in deletes],
        }
        body = json.dumps(document, separators=(",", ":")).encode()
        answer = await self._caller.call(
            "POST", "/rows-tx", fields=_JSON, body=body, timeout_s=timeout_s
        )
        if not isinstance(answer, HttpResponse):
            return write_failure(answer)
        if answer.status not in (200, 412):
            return _refusal(answer)
        try:
            content = json.loads(answer.body)
            if answer.status == 200:
                return Done(_decode_position(content))
            return Conflict(_decode_rows(content), _decode_position(content))
        except (ValueError, TypeError, KeyError) as error:
            return Unknown(
                Reason.ANSWER_LOST, f"malformed answer of the store: {error}"
            )

    async def list_rows(
        self, table: str, *, timeout_s: float, partition: str = ""
    ) -> Done[Changes] | Refused | Unknown:
        """Return all rows of a partition.

        Pages after the first may be newer than the returned revision.
        """
        rows: list[StoredRow] = []
        position: StoreTimestamp | None = None
        query: dict[str, str] = {"Table": table, "part": partition}
        query["Limit"] = str(_PAGE_ROWS)
        while True:
            content = await self._read("/rows-get", query, timeout_s)
            if isinstance(content, (Refused, Unknown)):
                return content
            try:
                page = _decode_rows(content)
                position = position or _decode_position(content)
                more = bool(content.get("MorePages"))
            except (ValueError, TypeError, KeyError) as error:
                return Refused(Reason.ANSWER_LOST, f"malformed listing: {error}")
            rows += page
            if not more or not page:
                # The feed delivers all changes after the first page's revision.
                return Done(Changes(tuple(rows), position))
            query["From"] = page[-1].key + "\0"

    async def watch(
        self, table: str, after_revision: int, *, wait_s: float, timeout_s: float
    ) -> Done[Changes] | HistoryGone | Refused | Unknown:
        """Return the changes since a revision, as soon as there is at least one."""
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
            return Done(Changes(_decode_rows(content), _decode_position(content)))
        except (ValueError, TypeError, KeyError) as error:
            return Refused(Reason.ANSWER_LOST, f"malformed list of changes: {error}")

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
            max_total_s=_MAX_ANSWER_S,
        )
        if not isinstance(answer, HttpResponse):
            return read_failure(answer)
        if answer.status == 410:
            return Refused(
                Reason.NOT_FOUND, "the store no longer has the history of this revision"
            )
        if answer.status != 200:
            return _refusal(answer)
        try:
            content = json.loads(answer.body)
        except ValueError as error:
            return Refused(
                Reason.ANSWER_LOST, f"answer of the store is not JSON: {error}"
            )
        if not isinstance(content, dict):
            return Refused(
                Reason.ANSWER_LOST, "answer of the store is not a JSON object"
            )
        return content


def _row_key(row: ExpectedRow | NewRow) -> dict[str, str]:
    # The store calls a partition "part".
    return {"Table": row.table, "part": row.partition, "Key": row.key}


def _decode_position(content: Mapping[str, Any]) -> StoreTimestamp:
    return StoreTimestamp(int(content["ResourceVersion"]), int(content["NowMs"]))


def _decode_rows(content: Mapping[str, Any]) -> tuple[StoredRow, ...]:
    rows = []
    for row in content["Rows"]:
        deleted = bool(row.get("Tombstone"))
        decoded = _decode_value(row.get("Value") or "")
        # A row that is missing in a conflict has the revision 0.
        revision = int(row.get("ResourceVersion") or 0)
        deleted = deleted or revision == 0
        rows.append(StoredRow(row["Table"], row["Key"], decoded, revision, deleted))
    return tuple(rows)


def _decode_value(value: Any) -> bytes:
    """Return a row's bytes, or no bytes if they cannot be decoded.

    The tables also hold rows of other writers. The reader of a table rejects an empty
    row on its own. If the listing failed instead, all other rows would be lost with it,
    and a router that starts then would never learn of any target.
    """
    try:
        return base64.b64decode(value, validate=True)
    except (binascii.Error, ValueError, TypeError):
        return b""


def _refusal(answer: HttpResponse) -> Refused:
    reason = Reason.THROTTLED if answer.status == 429 else Reason.UNREACHABLE
    detail = f"the store answered {answer.status}"
    return Refused(reason, detail, answer.retry_after_s())
