"""Store rows of software versions and of streams, which outlive every router."""

from __future__ import annotations

import json
from typing import Iterable, Mapping

from endivegw.documents import decoding, parse_document, read_count, read_name
from endivegw.streams.records import StreamKey, StreamRecord

__all__ = [
    "RECORDS_TABLE",
    "VERSIONS_TABLE",
    "decode_records",
    "decode_versions",
    "encode_records",
    "encode_versions",
]

#: Table with one row for each service that has had several versions at a time.
VERSIONS_TABLE = "software-versions"

#: Table with one row for each vm: the records that its router held lately.
RECORDS_TABLE = "stream-records"


def encode_versions(versions: Mapping[str, int | None]) -> bytes:
    """Return the value of a service's row.

    :param versions: by version the store's time in milliseconds at which it was last
        registered, None for those that are.
    """
    return json.dumps(dict(versions)).encode()


def decode_versions(value: bytes) -> dict[str, int | None]:
    """Decode the value of a service's row.

    :raises DocumentError: if the value is malformed.
    """
    with decoding("row of software versions"):
        return {
            read_name(version): None if last_ms is None else read_count(last_ms)
            for version, last_ms in parse_document(value).items()
        }


def encode_records(records: Iterable[StreamRecord]) -> bytes:
    """Return the value of a router's row."""
    document: dict[str, dict[str, list[StreamKey]]] = {}
    for record in records:
        versions = document.setdefault(record.service, {})
        versions.setdefault(record.software_version, []).append(record.key)
    return json.dumps(document).encode()


def decode_records(value: bytes) -> list[StreamRecord]:
    """Decode the value of a router's row.

    :raises DocumentError: if the value is malformed.
    """
    with decoding("row of stream records"):
        return [
            StreamRecord(
                StreamKey(read_name(key)), read_name(service), read_name(version)
            )
            for service, versions in parse_document(value).items()
            for version, keys in versions.items()
            for key in keys
        ]
