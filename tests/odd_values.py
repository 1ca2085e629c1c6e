"""Values of rows that another writer may leave, and that nobody expects."""

from __future__ import annotations

import json
from typing import Any, Iterator

from endivegw_standins.platform_target import TARGET_ENTRY

__all__ = [
    "ODD_VALUES",
    "ROW_DOCUMENTS",
    "TARGET_DOCUMENT",
    "odd_documents",
    "odd_rows",
]

TARGET_DOCUMENT = {
    **TARGET_ENTRY,
    "Service": "other",
    "Address": "127.0.0.1:9",
    "Zone": "z",
}

#: A sound document of each table that routers read.
ROW_DOCUMENTS: dict[str, Any] = {
    "servers": TARGET_DOCUMENT,
    "router-addresses": {
        "instance": "vm-9-1",
        "host": "127.0.0.1",
        "port": 9,
        "availability_zone": "z",
    },
    "token-budgets": {"drawn": 10},
    "token-holders": {
        "instance": "vm-9-1",
        "sequence": 1,
        "as_of_ms": 10,
        "witnesses": ["vm-8-1"],
        "needed": 1,
        "outright": False,
        "lasts_ms": 20_000,
        "accounts": {"hotel": [10, 5, 1]},
    },
    "quarantined-requests": {
        "ends": [["e-1", 1], ["e-2", None]],
        "void": [["e-1", 1]],
        "answered": False,
    },
    "software-versions": {"v1": None, "v2": 10},
    "stream-records": {"engine": {"v1": ["AAAAAAAAAAAAAAAA"]}},
}

#: Depth of nested documents, which a row of 64 KB holds.
_DEEP = 10_000

#: Values that are no document at all, or none that can be used.
ODD_VALUES: tuple[bytes, ...] = (
    b"",
    b"\xff\xfe",
    b"{",
    b"null",
    b"7",
    b"[]",
    b"{}",
    b'"text"',
    b"NaN",
    b"1e999",
    b"9" * 400,
    b"9" * 5000,
    b"[" * _DEEP + b"]" * _DEEP,
    b'{"a":' * _DEEP + b"1" + b"}" * _DEEP,
)

#: JSON texts that take the place of one field of a document.
_ODD_FIELDS = (
    "null",
    "true",
    "-1",
    "0",
    "99999",
    "1.5",
    "NaN",
    "1e999",
    "-1e999",
    "1e300",
    "9" * 40,
    "9" * 400,
    "9" * 5000,
    '""',
    '"text"',
    '"1"',
    '"\\u0000"',
    '"\\ud800"',
    '"a\\r\\nb: c"',
    '"' + "a" * 40_000 + '"',
    "[]",
    "{}",
    "[[]]",
    '[["a", 1]]',
    "[" * _DEEP + "]" * _DEEP,
)

_PLACEHOLDER = "\x01"


def odd_rows(table: str) -> list[bytes]:
    """Return odd values for a row of a table."""
    return [*ODD_VALUES, *odd_documents(ROW_DOCUMENTS[table])]


def odd_documents(document: Any) -> Iterator[bytes]:
    """Yield a document with each of its parts in turn replaced by an odd one."""
    for changed in _replaced(document):
        text = json.dumps(changed)
        for odd in _ODD_FIELDS:
            yield text.replace(json.dumps(_PLACEHOLDER), odd).encode()


def _replaced(value: Any) -> Iterator[Any]:
    yield _PLACEHOLDER
    match value:
        case dict():
            for key, part in value.items():
                for changed in _replaced(part):
                    yield {**value, key: changed}
        case list():
            for number, part in enumerate(value):
                for changed in _replaced(part):
                    yield [*value[:number], changed, *value[number + 1 :]]
