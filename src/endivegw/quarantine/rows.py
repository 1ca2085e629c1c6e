"""Store rows of requests that terminate targets, which outlive every router."""

from __future__ import annotations

import json

from endivegw.documents import decoding, parse_document
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

    :raises DocumentError: if the value is malformed.
    """
    with decoding("quarantine row"):
        document = parse_document(value)
        return RequestRecord(
            Fingerprint(key),
            decode_starts(document["ends"]),
            decode_starts(document["void"]),
            bool(document["answered"]),
        )
