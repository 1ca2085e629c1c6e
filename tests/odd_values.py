"""Values of rows that another writer may leave, and that nobody expects."""

from __future__ import annotations

import json
from typing import Any, Iterator

__all__ = ["ODD_VALUES", "odd_documents"]

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
