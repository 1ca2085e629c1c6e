"""Server side of the DynamoDB low-level JSON API for the stand-in table.

The server supports only the expressions that the product's adapter sends and returns
an error for all others, so that a changed expression fails a test.
"""

from __future__ import annotations

import json
import re
from typing import Any

from endivegw.results import Done, Reason, Refused
from endivegw.services import (
    MAX_TRANSACTION_ITEMS,
    Add,
    Check,
    Delete,
    Put,
    Transaction,
    Write,
)
from endivegw.services.dynamo_items import (
    ABSENT,
    AT_VERSION,
    PRESENT,
    encode_key,
    encode_row,
    parse_fields,
    parse_key,
)
from endivegw_standins.http_exchange import Reply, json_reply
from endivegw_standins.memory_table import MemoryTable

__all__ = ["ExpressionError", "WRITE_ACTIONS", "answer_action"]

WRITE_ACTIONS = ("TransactWriteItems",)

_ERROR = "com.amazonaws.dynamodb.v20120810#"
_REPLACE = re.compile(r"SET #fields = :fields ADD #version :one")
_DELTA = re.compile(r"#fields\.#n(\d+) = if_not_exists\(#fields\.#n\1, :zero\) \+ :d\1")
_MINIMUM = re.compile(
    r"(?:\(attribute_not_exists\(#fields\.#n\d+\) OR )?#fields\.#n(\d+) >= :m\1\)?"
)

Json = dict[str, Any]


class ExpressionError(Exception):
    """Report an expression that the stand-in does not support."""


def answer_action(table: MemoryTable, action: str, body: bytes) -> Reply:
    """Carry out one call and return its reply."""
    request = json.loads(body)
    try:
        match action:
            case "TransactWriteItems":
                return _transact(table, request)
            case "BatchGetItem":
                return _batch_get(table, request)
            case "Query":
                return _query(table, request)
    except (ExpressionError, KeyError) as error:
        return _error("ValidationException", repr(error))
    return _error("UnknownOperationException", action)


def _error(kind: str, message: str, **more: object) -> Reply:
    return json_reply(400, {"__type": _ERROR + kind, "message": message, **more})


def _transact(table: MemoryTable, request: Json) -> Reply:
    writes = tuple(_parse_write(item) for item in request["TransactItems"])
    match table.transact_now(Transaction(writes)):
        case Done():
            return json_reply(200, {})
        case Refused(Reason.CONFLICT, detail):
            reasons = [{"Code": "ConditionalCheckFailed"}]
            return _error(
                "TransactionCanceledException", detail, CancellationReasons=reasons
            )
        case Refused(_, detail):
            return _error("ValidationException", detail)


def _batch_get(table: MemoryTable, request: Json) -> Reply:
    ((name, requested),) = request["RequestItems"].items()
    keys = [parse_key(key) for key in requested["Keys"]]
    if len(keys) > MAX_TRANSACTION_ITEMS or len(set(keys)) != len(keys):
        return _error("ValidationException", "too many keys or duplicate keys")
    table.reads += len(keys)
    rows = [table.get(key) for key in keys]
    items = [encode_row(row) for row in rows if row is not None]
    return json_reply(200, {"Responses": {name: items}, "UnprocessedKeys": {}})


def _query(table: MemoryTable, request: Json) -> Reply:
    values = request["ExpressionAttributeValues"]
    start = request.get("ExclusiveStartKey")
    after = parse_key(start).sort if start else None
    prefix = values.get(":prefix", {"S": ""})["S"]
    partition = values[":pk"]["S"]
    table.reads += 1
    page = table.page(partition, prefix, after, int(request.get("Limit", 1000)))
    reply: Json = {"Items": [encode_row(row) for row in page.rows]}
    if page.next_sort is not None:
        reply["LastEvaluatedKey"] = encode_key(page.rows[-1].key)
    return json_reply(200, reply)


def _parse_write(item: Json) -> Write:
    ((kind, part),) = item.items()
    key = parse_key(part["Key"])
    condition = part.get("ConditionExpression", "")
    match kind:
        case "Update" if _REPLACE.fullmatch(part["UpdateExpression"]):
            fields = parse_fields(part["ExpressionAttributeValues"][":fields"])
            expected = _parse_version(part, condition) if condition else None
            return Put(key, fields, expected)
        case "Update":
            return _parse_add(part, condition)
        case "Delete":
            return Delete(key, _parse_version(part, condition))
        case "ConditionCheck":
            return Check(key, _parse_version(part, condition))
    raise ExpressionError(kind)


def _parse_version(part: Json, condition: str) -> int:
    if condition == ABSENT:
        return 0
    if condition == AT_VERSION:
        return int(part["ExpressionAttributeValues"][":expected"]["N"])
    raise ExpressionError(condition)


def _parse_add(part: Json, condition: str) -> Add:
    names = part["ExpressionAttributeNames"]
    values = part["ExpressionAttributeValues"]
    update = part["UpdateExpression"]
    if not update.endswith("ADD #version :one"):
        raise ExpressionError(update)
    if condition.split(" AND ")[0] != PRESENT:
        raise ExpressionError(condition)
    terms = update.removeprefix("SET ").removesuffix("ADD #version :one").strip()
    deltas = {}
    for term in filter(None, terms.split(", #")):
        match = _DELTA.fullmatch("#" + term.removeprefix("#"))
        if match is None:
            raise ExpressionError(update)
        index = match.group(1)
        deltas[names[f"#n{index}"]] = int(values[f":d{index}"]["N"])
    minimums = {}
    for term in condition.split(" AND ")[1:]:
        match = _MINIMUM.fullmatch(term)
        if match is None:
            raise ExpressionError(condition)
        index = match.group(1)
        minimums[names[f"#n{index}"]] = int(values[f":m{index}"]["N"])
    return Add(parse_key(part["Key"]), deltas, minimums)
