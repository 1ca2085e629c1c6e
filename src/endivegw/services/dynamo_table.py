"""Table service client for the DynamoDB low-level JSON API."""

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
    CallError,
    HttpCaller,
    HttpResponse,
    NotSent,
    ResponseLost,
    read_failure,
    write_failure,
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

#: Error types of a transaction which guarantee that nothing was written.
_THROTTLED = ("ProvisionedThroughputExceeded", "Throttling", "RequestLimitExceeded")
_CONFLICTS = ("TransactionCanceledException", "TransactionConflictException")
#: Raised when parsing a response that the table service did not produce, such as
#: the error page of an intermediate proxy.
_MALFORMED = (
    AttributeError,
    KeyError,
    TypeError,
    ValueError,
    OverflowError,
    RecursionError,
)

_CONDITION_FAILED = "ConditionalCheckFailed"


class DynamoTable:
    """Implement the table port over HTTP.

    :param url: endpoint of the service.
    :param table: name of the table.
    :param credentials: None if the service requires no signature.
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
        """Apply all writes or none; see :class:`endivegw.services.TablePort`."""
        if not 0 < len(transaction.writes) <= MAX_TRANSACTION_ITEMS:
            detail = (
                f"transaction has {len(transaction.writes)} items,"
                f" allowed are 1 to {MAX_TRANSACTION_ITEMS}"
            )
            return Refused(Reason.BAD_REQUEST, detail)
        items = [encode_write(self._table, write) for write in transaction.writes]
        response = await self._call(
            "TransactWriteItems", {"TransactItems": items}, timeout_s
        )
        match response:
            case HttpResponse(status=200):
                return Done(None)
            case HttpResponse():
                return _refused_write(response)
            case NotSent() | ResponseLost():
                return write_failure(response)

    async def read(
        self, keys: tuple[RowKey, ...], *, timeout_s: float
    ) -> Result[tuple[Row | None, ...]]:
        """Return the rows in the order of the keys."""
        unique = tuple(dict.fromkeys(keys))
        found: dict[RowKey, Row] = {}
        deadline_s = anyio.current_time() + timeout_s
        try:
            for start in range(0, len(unique), MAX_TRANSACTION_ITEMS):
                chunk = unique[start : start + MAX_TRANSACTION_ITEMS]
                refused = await self._read_chunk(chunk, found, deadline_s)
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
        response = await self._call("Query", request, timeout_s)
        match response:
            case HttpResponse(status=200, body=body):
                return _parse_page(body)
            case HttpResponse():
                return _refused_read(response)
            case NotSent() | ResponseLost():
                return read_failure(response)

    async def close(self) -> None:
        """Close all pooled connections."""
        await self._caller.close()

    async def _read_chunk(
        self, keys: tuple[RowKey, ...], found: dict[RowKey, Row], deadline_s: float
    ) -> Refused | None:
        pending = [encode_key(key) for key in keys]
        # A busy service may leave some keys unprocessed for a further call. Each
        # call must process at least one key, otherwise the read is aborted.
        while pending:
            request = {
                "RequestItems": {self._table: {"Keys": pending, "ConsistentRead": True}}
            }
            remaining_s = max(0.0, deadline_s - anyio.current_time())
            response = await self._call("BatchGetItem", request, remaining_s)
            if not isinstance(response, HttpResponse):
                return read_failure(response)
            if response.status != 200:
                return _refused_read(response)
            reply = json.loads(response.body)
            items = reply.get("Responses", {}).get(self._table, [])
            for item in items:
                found[parse_key(item)] = parse_row(item)
            unprocessed = reply.get("UnprocessedKeys", {}).get(self._table, {})
            if unprocessed and len(unprocessed["Keys"]) >= len(pending):
                return Refused(
                    Reason.THROTTLED,
                    f"table processed none of {len(pending)} requested keys",
                )
            pending = unprocessed.get("Keys", [])
        return None

    async def _call(
        self, action: str, request: Mapping[str, Any], timeout_s: float
    ) -> HttpResponse | CallError:
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
    return Refused(Reason.UNREACHABLE, f"malformed response from the table: {error!r}")


def _error(response: HttpResponse) -> tuple[str, str, tuple[str, ...]]:
    """Return the type and message of an error, and the codes of its items."""
    try:
        reply = json.loads(response.body)
        kind = str(reply.get("__type", "")).rpartition("#")[2]
        message = str(reply.get("message") or reply.get("Message") or "")
        reasons = reply.get("CancellationReasons", ())
        codes = tuple(str(reason.get("Code", "None")) for reason in reasons)
    except (ValueError, AttributeError):
        return "", "", ()
    return kind, message, codes


def _refused_read(response: HttpResponse) -> Refused:
    kind, message, _ = _error(response)
    detail = f"HTTP {response.status} {kind} {message}".rstrip()
    if kind.startswith(_THROTTLED) or response.status == 429:
        return Refused(Reason.THROTTLED, detail, response.retry_after_s())
    if response.status >= 500:
        return Refused(Reason.UNREACHABLE, detail, response.retry_after_s())
    return Refused(Reason.BAD_REQUEST, detail)


def _refused_write(response: HttpResponse) -> Refused | Unknown:
    kind, message, codes = _error(response)
    detail = f"HTTP {response.status} {kind} {message}".rstrip()
    # The service documents that an internal error may occur after the write.
    if response.status >= 500:
        return Unknown(Reason.ANSWER_LOST, detail)
    if kind in _CONFLICTS:
        if codes and _CONDITION_FAILED not in codes:
            # Another transaction was using a row. The conditions may still hold,
            # so the transaction can be retried and is not a conflict.
            return Refused(Reason.THROTTLED, detail)
        return Refused(Reason.CONFLICT, detail)
    return _refused_read(response)
