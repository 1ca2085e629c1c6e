"""The table service over the DynamoDB low-level JSON interface."""

from __future__ import annotations

import json
from datetime import datetime, timezone
from typing import Any, Mapping

import anyio

from endivegw.results import Done, Reason, Refused, Result, Unknown
from endivegw.services.dynamo_items import (
    encode_key,
    encode_write,
    parse_key,
    parse_row,
)
from endivegw.services.http_calls import (
    Answer,
    CallFailure,
    HttpCaller,
    Lost,
    NotSent,
    failed_read,
    failed_write,
)
from endivegw.services.ports import (
    MAX_TRANSACTION_ITEMS,
    Page,
    Row,
    RowKey,
    Transaction,
)
from endivegw.services.signing import Credentials, signed_fields

__all__ = ["DynamoTable"]

_INTERFACE = "DynamoDB_20120810"
_CONTENT_TYPE = "application/x-amz-json-1.0"

#: Answers to a transaction that say for certain that nothing was written.
_THROTTLED = ("ProvisionedThroughputExceeded", "Throttling", "RequestLimitExceeded")
_CONFLICTS = ("TransactionCanceledException", "TransactionConflictException")
#: What parsing raises on an answer that is not the table's, such as the page
#: of a proxy in between.
_MALFORMED = (AttributeError, KeyError, TypeError, ValueError)

_CONDITION_FAILED = "ConditionalCheckFailed"


class DynamoTable:
    """Implement the table port over HTTP.

    :param url: the service's endpoint.
    :param table: the table's name.
    :param credentials: None where the service asks for no signature.
    """

    def __init__(
        self,
        url: str,
        *,
        table: str = "endivegw",
        credentials: Credentials | None = None,
        client_name: str = "endivegw",
    ) -> None:
        self._caller = HttpCaller(url, client_name=client_name)
        self._table = table
        self._credentials = credentials

    async def transact(
        self, transaction: Transaction, *, timeout_s: float
    ) -> Result[None]:
        """Write all or nothing; see :class:`endivegw.services.TablePort`."""
        if not 0 < len(transaction.writes) <= MAX_TRANSACTION_ITEMS:
            detail = f"a transaction holds 1 to {MAX_TRANSACTION_ITEMS} items"
            return Refused(Reason.BAD_REQUEST, detail)
        items = [encode_write(self._table, write) for write in transaction.writes]
        answer = await self._call(
            "TransactWriteItems", {"TransactItems": items}, timeout_s
        )
        match answer:
            case Answer(status=200):
                return Done(None)
            case Answer():
                return _refused_write(answer)
            case NotSent() | Lost():
                return failed_write(answer)

    async def read(
        self, keys: tuple[RowKey, ...], *, timeout_s: float
    ) -> Result[tuple[Row | None, ...]]:
        """Return the rows in the order of the keys."""
        unique = tuple(dict.fromkeys(keys))
        found: dict[RowKey, Row] = {}
        end_s = anyio.current_time() + timeout_s
        try:
            for start in range(0, len(unique), MAX_TRANSACTION_ITEMS):
                chunk = unique[start : start + MAX_TRANSACTION_ITEMS]
                refused = await self._read_chunk(chunk, found, end_s)
                if refused is not None:
                    return refused
        except _MALFORMED as error:
            return _malformed(error)
        return Done(tuple(found.get(key) for key in keys))

    async def scan(
        self,
        partition: str,
        *,
        prefix: str = "",
        after: str | None = None,
        limit: int = 1000,
        timeout_s: float,
    ) -> Result[Page]:
        """Return one page of a partition."""
        condition = "pk = :pk"
        values: dict[str, Any] = {":pk": {"S": partition}}
        if prefix:
            condition += " AND begins_with(sk, :prefix)"
            values[":prefix"] = {"S": prefix}
        request: dict[str, Any] = {
            "TableName": self._table,
            "ConsistentRead": True,
            "KeyConditionExpression": condition,
            "ExpressionAttributeValues": values,
            "Limit": limit,
        }
        if after is not None:
            request["ExclusiveStartKey"] = encode_key(RowKey(partition, after))
        answer = await self._call("Query", request, timeout_s)
        match answer:
            case Answer(status=200, body=body):
                return _parse_page(body)
            case Answer():
                return _refused_read(answer)
            case NotSent() | Lost():
                return failed_read(answer)

    async def close(self) -> None:
        """Close all kept connections."""
        await self._caller.close()

    async def _read_chunk(
        self, keys: tuple[RowKey, ...], found: dict[RowKey, Row], end_s: float
    ) -> Refused | None:
        wanted = [encode_key(key) for key in keys]
        # The service may leave some keys for a further call when it is busy.
        # Each round takes in at least one row, or the read is given up.
        while wanted:
            request = {
                "RequestItems": {self._table: {"Keys": wanted, "ConsistentRead": True}}
            }
            left_s = max(0.0, end_s - anyio.current_time())
            answer = await self._call("BatchGetItem", request, left_s)
            if not isinstance(answer, Answer):
                return failed_read(answer)
            if answer.status != 200:
                return _refused_read(answer)
            reply = json.loads(answer.body)
            items = reply.get("Responses", {}).get(self._table, [])
            for item in items:
                found[parse_key(item)] = parse_row(item)
            left = reply.get("UnprocessedKeys", {}).get(self._table, {})
            if left and len(left["Keys"]) >= len(wanted):
                return Refused(Reason.THROTTLED, "the table processed no key")
            wanted = left.get("Keys", [])
        return None

    async def _call(
        self, action: str, request: Mapping[str, Any], timeout_s: float
    ) -> Answer | CallFailure:
        body = json.dumps(request, separators=(",", ":")).encode()
        fields = {
            "content-type": _CONTENT_TYPE,
            "x-amz-target": f"{_INTERFACE}.{action}",
        }
        if self._credentials is not None:
            fields = signed_fields(
                self._credentials,
                "dynamodb",
                "POST",
                self._caller.base_url + "/",
                fields,
                body,
                datetime.now(timezone.utc),
            )
        return await self._caller.call(
            "POST", "/", fields=fields, body=body, timeout_s=timeout_s
        )


def _parse_page(body: bytes) -> Done[Page] | Refused:
    try:
        reply = json.loads(body)
        rows = tuple(parse_row(item) for item in reply.get("Items", ()))
        last = reply.get("LastEvaluatedKey")
        return Done(Page(rows, parse_key(last).sort if last else None))
    except _MALFORMED as error:
        return _malformed(error)


def _malformed(error: Exception) -> Refused:
    return Refused(Reason.UNREACHABLE, f"the table's answer is malformed: {error!r}")


def _error(answer: Answer) -> tuple[str, str, tuple[str, ...]]:
    """Return the kind of an error, its message, and the codes of its items."""
    try:
        reply = json.loads(answer.body)
        kind = str(reply.get("__type", "")).rpartition("#")[2]
        message = str(reply.get("message") or reply.get("Message") or "")
        reasons = reply.get("CancellationReasons", ())
        codes = tuple(str(reason.get("Code", "None")) for reason in reasons)
    except (ValueError, AttributeError):
        return "", "", ()
    return kind, message, codes


def _refused_read(answer: Answer) -> Refused:
    kind, message, _ = _error(answer)
    detail = f"HTTP {answer.status} {kind} {message}".rstrip()
    if kind.startswith(_THROTTLED) or answer.status == 429:
        return Refused(Reason.THROTTLED, detail, answer.retry_after_s())
    if answer.status >= 500:
        return Refused(Reason.UNREACHABLE, detail, answer.retry_after_s())
    return Refused(Reason.BAD_REQUEST, detail)


def _refused_write(answer: Answer) -> Refused | Unknown:
    kind, message, codes = _error(answer)
    detail = f"HTTP {answer.status} {kind} {message}".rstrip()
    # The service says itself that an internal error may come after the write.
    if answer.status >= 500:
        return Unknown(Reason.ANSWER_LOST, detail)
    if kind in _CONFLICTS:
        if codes and _CONDITION_FAILED not in codes:
            # Another transaction held a row for a moment; the conditions may
            # still hold, so this is a reason to try again and not a conflict.
            return Refused(Reason.THROTTLED, detail)
        return Refused(Reason.CONFLICT, detail)
    return _refused_read(answer)
