"""Encode rows and writes as JSON of the DynamoDB low-level API.

An item has the attributes ``pk``, ``sk``, ``version`` and ``fields``, a map of
numbers and strings. Every write except a deletion is an update that increments
the version, so that conditional and unconditional writes share one expression.
"""

from __future__ import annotations

from typing import Any, Mapping

from endivegw.services.ports import (
    Add,
    Check,
    Delete,
    Put,
    Row,
    RowKey,
    RowValue,
    Write,
)

__all__ = [
    "ABSENT",
    "AT_VERSION",
    "DELTA",
    "FIELD",
    "MINIMUM",
    "MINIMUM_OR_ABSENT",
    "PRESENT",
    "encode_key",
    "encode_row",
    "encode_value",
    "encode_write",
    "parse_fields",
    "parse_key",
    "parse_row",
    "parse_value",
]

Json = dict[str, Any]

ABSENT = "attribute_not_exists(pk)"
PRESENT = "attribute_exists(pk)"
AT_VERSION = "#version = :expected"
REPLACE = "SET #fields = :fields ADD #version :one"

#: Templates of the expressions of an addition, formatted with the field's index.
FIELD = "#fields.#n{0}"
DELTA = "#fields.#n{0} = if_not_exists(#fields.#n{0}, :zero) + :d{0}"
MINIMUM = "#fields.#n{0} >= :m{0}"
MINIMUM_OR_ABSENT = "(attribute_not_exists(#fields.#n{0}) OR #fields.#n{0} >= :m{0})"

_NAMES = {"#fields": "fields", "#version": "version"}


def encode_value(value: RowValue) -> Json:
    """Encode a number or string as a typed attribute value."""
    if isinstance(value, str):
        return {"S": value}
    return {"N": str(value)}


def parse_value(value: Mapping[str, Any]) -> RowValue:
    """Decode a typed attribute value to a number or string."""
    if "S" in value:
        return str(value["S"])
    return int(value["N"])


def parse_fields(value: Mapping[str, Any]) -> dict[str, RowValue]:
    """Decode the map attribute that holds a row's fields."""
    return {name: parse_value(item) for name, item in value["M"].items()}


def encode_key(key: RowKey) -> Json:
    """Encode a row's key as the key attributes of an item."""
    return {"pk": {"S": key.partition}, "sk": {"S": key.sort}}


def parse_key(item: Mapping[str, Any]) -> RowKey:
    """Decode the key of an item."""
    return RowKey(str(item["pk"]["S"]), str(item["sk"]["S"]))


def encode_row(row: Row) -> Json:
    """Encode a row as an item."""
    return {
        **encode_key(row.key),
        "version": encode_value(row.version),
        "fields": _encode_fields(row.fields),
    }


def parse_row(item: Mapping[str, Any]) -> Row:
    """Decode an item to a row."""
    version = int(item["version"]["N"])
    return Row(parse_key(item), version, parse_fields(item["fields"]))


def encode_write(table: str, write: Write) -> Json:
    """Encode one write as an element of ``TransactItems``."""
    match write:
        case Put():
            return {"Update": _encode_put(table, write)}
        case Add():
            return {"Update": _encode_add(table, write)}
        case Delete():
            return {"Delete": _conditional(table, write.key, write.expected_version)}
        case Check():
            return {
                "ConditionCheck": _conditional(table, write.key, write.expected_version)
            }


def _encode_fields(fields: Mapping[str, RowValue]) -> Json:
    return {"M": {name: encode_value(value) for name, value in fields.items()}}


def _conditional(table: str, key: RowKey, expected_version: int) -> Json:
    item: Json = {"TableName": table, "Key": encode_key(key)}
    if expected_version == 0:
        item["ConditionExpression"] = ABSENT
        return item
    item["ConditionExpression"] = AT_VERSION
    item["ExpressionAttributeNames"] = {"#version": "version"}
    item["ExpressionAttributeValues"] = {":expected": encode_value(expected_version)}
    return item


def _encode_put(table: str, put: Put) -> Json:
    values: Json = {":fields": _encode_fields(put.fields), ":one": {"N": "1"}}
    item: Json = {
        "TableName": table,
        "Key": encode_key(put.key),
        "UpdateExpression": REPLACE,
        "ExpressionAttributeNames": dict(_NAMES),
        "ExpressionAttributeValues": values,
    }
    if put.expected_version == 0:
        item["ConditionExpression"] = ABSENT
    elif put.expected_version is not None:
        item["ConditionExpression"] = AT_VERSION
        values[":expected"] = encode_value(put.expected_version)
    return item


def _encode_add(table: str, add: Add) -> Json:
    names = dict(_NAMES)
    values: Json = {":one": {"N": "1"}}
    if add.deltas:
        values[":zero"] = {"N": "0"}
    conditions = [PRESENT]
    assignments = []
    field_names = sorted({*add.deltas, *add.minimums})
    for index, name in enumerate(field_names):
        names[f"#n{index}"] = name
        if name in add.deltas:
            assignments.append(DELTA.format(index))
            values[f":d{index}"] = encode_value(add.deltas[name])
        if name in add.minimums:
            minimum = add.minimums[name]
            # A field that was never written counts as zero.
            template = MINIMUM if minimum > 0 else MINIMUM_OR_ABSENT
            conditions.append(template.format(index))
            values[f":m{index}"] = encode_value(minimum)
    update = "ADD #version :one"
    if assignments:
        update = "SET " + ", ".join(assignments) + " " + update
    return {
        "TableName": table,
        "Key": encode_key(add.key),
        "UpdateExpression": update,
        "ConditionExpression": " AND ".join(conditions),
        "ExpressionAttributeNames": names,
        "ExpressionAttributeValues": values,
    }
