"""Store rows of requests that terminate targets, which outlive every router."""

from __future__ import annotations

import json

from endivegw.quarantine.evidence import RequestRecord, decode_starts, encode_starts
from endivegw.quarantine.fingerprint import Fingerprint

__all__ = ["QUARANTINE_TABLE", "decode_record", "encode_record"]

#: Table with one row for each request, keyed by its fingerprint.
QUARANTINE_TABLE = "quarantined-requests"


def encode_record(record: RequestRecord) -> bytes:
    """Return the value of a request's row."""
    document = {
        "ends": encode_starts(record.terminations),
        "void": encode_starts(record.invalidated),
        "answered": record.was_answered,
    }
    return json.dumps(document).encode()


def decode_record(key: str, value: bytes) -> RequestRecord:
    """Decode the value of a request's row.

    :raises ValueError: if the value is malformed.
    """
    try:
        document = json.loads(value)
        ends, void = decode_starts(document["ends"]), decode_starts(document["void"])
        was_answered = bool(document["answered"])
    except (TypeError, KeyError) as error:
        raise ValueError(f"malformed quarantine row: {error!r}") from error
    return RequestRecord(Fingerprint(key), ends, void, was_answered)
