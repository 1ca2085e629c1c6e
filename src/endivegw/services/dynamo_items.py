"""Rows and writes in the JSON of the DynamoDB low-level interface.

An item carries ``pk``, ``sk``, ``version`` and ``fields``, a map of numbers
and strings. Every write but a deletion is an update that adds one to the
version, so that one expression serves guarded and unguarded writes alike.
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

#: Pieces of the expressions of an addition, by the number of the field.
FIELD = "#fields.#n{0}"
DELTA = "#fields.#n{0} = if_not_exists(#fields.#n{0}, :zero) + :d{0}"
MINIMUM = "#fields.#n{0} >= :m{0}"
MINIMUM_OR_ABSENT = "(attribute_not_exists(#fields.#n{0}) OR #fields.#n{0} >= :m{0})"

_NAMES = {"#fields": "fields", "#version": "version"}


def encode_value(value: RowValue) -> Json:
    """Return a number or string as a typed attribute value."""
    if isinstance(value, str):
        return {"S": value}
    return {"N": str(value)}


def parse_value(value: Mapping[str, Any]) -> RowValue:
    """Return a typed attribute value as a number or string."""
    if "S" in value:
        return str(value["S"])
    return int(value["N"])


def parse_fields(value: Mapping[str, Any]) -> dict[str, RowValue]:
    """Return the map attribute of a row's fields."""
    return {name: parse_value(item) for name, item in value["M"].items()}


def encode_key(key: RowKey) -> Json:
    """Return a row's key as the service wants it."""
    return {"pk": {"S": key.partition}, "sk": {"S": key.sort}}


def parse_key(item: Mapping[str, Any]) -> RowKey:
    """Return the key of an item."""
    return RowKey(str(item["pk"]["S"]), str(item["sk"]["S"]))


def encode_row(row: Row) -> Json:
    """Return a row as an item."""
    return {
        **encode_key(row.key),
        "version": encode_value(row.version),
        "fields": _encode_fields(row.fields),
    }


def parse_row(item: Mapping[str, Any]) -> Row:
    """Return an item as a row."""
    version = int(item["version"]["N"])
    return Row(parse_key(item), version, parse_fields(item["fields"]))


def encode_write(table: str, write: Write) -> Json:
    """Return one write as an element of a transaction."""
    match write:
        case Put():
            return {"Update": _encode_put(table, write)}
        case Add():
            return {"Update": _encode_add(table, write)}
        case Delete():
            return {"Delete": _guarded(table, write.key, write.expected_version)}
        case Check():
            return {
                "ConditionCheck": _guarded(table, write.key, write.expected_version)
            }


def _encode_fields(fields: Mapping[str, RowValue]) -> Json:
    return {"M": {name: encode_value(value) for name, value in fields.items()}}


def _guarded(table: str, key: RowKey, expected_version: int) -> Json:
    part: Json = {"TableName": table, "Key": encode_key(key)}
    if expected_version == 0:
        part["ConditionExpression"] = ABSENT
        return part
    part["ConditionExpression"] = AT_VERSION
    part["ExpressionAttributeNames"] = {"#version": "version"}
    part["ExpressionAttributeValues"] = {":expected": encode_value(expected_version)}
    return part


def _encode_put(table: str, put: Put) -> Json:
    values: Json = {":fields": _encode_fields(put.fields), ":one": {"N": "1"}}
    part: Json = {
        "TableName": table,
        "Key": encode_key(put.key),
        "UpdateExpression": REPLACE,
        "ExpressionAttributeNames": dict(_NAMES),
        "ExpressionAttributeValues": values,
    }
    if put.expected_version == 0:
        part["ConditionExpression"] = ABSENT
    elif put.expected_version is not None:
        part["ConditionExpression"] = AT_VERSION
        values[":expected"] = encode_value(put.expected_version)
    return part


def _encode_add(table: str, add: Add) -> Json:
    names = dict(_NAMES)
    values: Json = {":one": {"N": "1"}}
    if add.deltas:
        values[":zero"] = {"N": "0"}
    conditions = [PRESENT]
    changes = []
    ordered = sorted({*add.deltas, *add.minimums})
    for number, name in enumerate(ordered):
        names[f"#n{number}"] = name
        if name in add.deltas:
            changes.append(DELTA.format(number))
            values[f":d{number}"] = encode_value(add.deltas[name])
        if name in add.minimums:
            least = add.minimums[name]
            # A field that was never written counts as zero.
            piece = MINIMUM if least > 0 else MINIMUM_OR_ABSENT
            conditions.append(piece.format(number))
            values[f":m{number}"] = encode_value(least)
    update = "ADD #version :one"
    if changes:
        update = "SET " + ", ".join(changes) + " " + update
    return {
        "TableName": table,
        "Key": encode_key(add.key),
        "UpdateExpression": update,
        "ConditionExpression": " AND ".join(conditions),
        "ExpressionAttributeNames": names,
        "ExpressionAttributeValues": values,
    }
