"""Read JSON documents that other processes wrote.

A document may hold anything: it may be nested deeply, its numbers may be too large for
the type that they end up in, and its texts may be impossible to encode.
"""

from __future__ import annotations

import contextlib
import ipaddress
import json
import math
from typing import Any, Iterator

__all__ = [
    "DocumentError",
    "decoding",
    "parse_document",
    "read_count",
    "read_integer",
    "read_ip",
    "read_name",
    "read_port",
    "read_text",
]

#: Limit of the integers that documents may hold: sums and products of such numbers fit
#: into a float.
_MAX_INTEGER = 2**63 - 1

#: Maximum length of names. The store's keys are limited to 200 bytes, and datagrams
#: hold several names.
_MAX_NAME_BYTES = 200

_MAX_PORT = 65_535

#: Maximum length of the part of an error that describes a value.
_MAX_DETAIL = 160

#: Errors that reading an arbitrary document raises.
_ERRORS = (
    ValueError,
    TypeError,
    KeyError,
    IndexError,
    AttributeError,
    OverflowError,
    RecursionError,
)


class DocumentError(ValueError):
    """Raised if a document is malformed or holds a value that cannot be used."""


@contextlib.contextmanager
def decoding(
    what: str, error_type: type[DocumentError] = DocumentError
) -> Iterator[None]:
    """Turn the errors that a malformed document causes into one.

    :param what: what the document should be, for the message.
    :param error_type: type of the error.
    :raises DocumentError: of the given type.
    """
    try:
        yield
    except _ERRORS as error:
        raise error_type(f"malformed {what}: {error!r:.{_MAX_DETAIL}}") from error


def parse_document(data: bytes | str) -> Any:
    """Return the JSON value in a document.

    Its integers have 64 bits, its other numbers are finite and its texts can be
    encoded.

    :raises DocumentError: if there is none.
    """
    with decoding("document"):
        document = json.loads(
            data,
            parse_int=_parse_integer,
            parse_float=_parse_number,
            parse_constant=_reject_constant,
        )
        if _has_escapes(data):
            # Escapes may stand for halves of characters.
            json.dumps(document, ensure_ascii=False).encode()
        return document


def read_integer(value: Any) -> int:
    """Return an integer; :raises DocumentError: for any other value."""
    # bool is a subclass of int in Python, but not an integer in JSON.
    if not isinstance(value, int) or isinstance(value, bool):
        raise DocumentError(f"not an integer: {value!r:.40}")
    return value


def read_count(value: Any) -> int:
    """Return a non-negative integer; :raises DocumentError: for any other value."""
    count = read_integer(value)
    if count < 0:
        raise DocumentError(f"a negative number: {count}")
    return count


def read_text(value: Any) -> str:
    """Return a short text that log lines, header fields and keys of rows can hold.

    :raises DocumentError: for any other value.
    """
    if not isinstance(value, str):
        raise DocumentError(f"not a text: {value!r:.40}")
    if not value.isprintable() or len(value.encode()) > _MAX_NAME_BYTES:
        raise DocumentError(
            f"not a printable text of {_MAX_NAME_BYTES} bytes: {value!r:.40}"
        )
    return value


def read_name(value: Any) -> str:
    """Return a text that is not empty; :raises DocumentError: for any other value."""
    if not value:
        raise DocumentError(f"not a name: {value!r:.40}")
    return read_text(value)


def read_ip(value: Any) -> str:
    """Return an IP address; :raises DocumentError: for any other value."""
    with decoding("IP address"):
        name = read_name(value)
        ipaddress.ip_address(name)
        return name


def read_port(value: Any) -> int:
    """Return the number of a port; :raises DocumentError: for any other value."""
    port = read_integer(value)
    if not 0 < port <= _MAX_PORT:
        raise DocumentError(f"not a port: {port!r:.40}")
    return port


def _parse_integer(text: str) -> int:
    number = int(text)
    if abs(number) > _MAX_INTEGER:
        raise DocumentError(f"a number of {len(text)} digits")
    return number


def _parse_number(text: str) -> float:
    number = float(text)
    if not math.isfinite(number):
        raise DocumentError(f"a number outside the range of a float: {text:.40}")
    return number


def _reject_constant(name: str) -> None:
    raise DocumentError(f"{name} is not a number")


def _has_escapes(data: bytes | str) -> bool:
    return b"\\u" in data if isinstance(data, bytes) else "\\u" in data
