"""The store's rows of requests that end targets: they outlive every router."""

from __future__ import annotations

import json

from endivegw.quarantine.evidence import RequestRecord, read_starts, write_starts
from endivegw.quarantine.fingerprint import Fingerprint

__all__ = ["QUARANTINE_TABLE", "decode_record", "encode_record"]

#: One row for each request, by its fingerprint.
QUARANTINE_TABLE = "quarantined-requests"


def encode_record(record: RequestRecord) -> bytes:
    """Return the value of a request's row."""
    document = {
        "ends": write_starts(record.ends),
        "void": write_starts(record.void),
        "answered": record.was_answered,
    }
    return json.dumps(document).encode()


def decode_record(key: str, value: bytes) -> RequestRecord:
    """Read a row; :exc:`ValueError` where it is not one."""
    try:
        document = json.loads(value)
        ends, void = read_starts(document["ends"]), read_starts(document["void"])
        was_answered = bool(document["answered"])
    except (TypeError, KeyError) as error:
        raise ValueError(f"not a request's row: {error!r}") from error
    return RequestRecord(Fingerprint(key), ends, void, was_answered)
