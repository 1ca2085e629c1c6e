"""Quarantine of requests that terminate the targets that run them."""

from endivegw.quarantine.evidence import (
    Evidence,
    RequestRecord,
    TargetTerminated,
    decode_starts,
    encode_starts,
)
from endivegw.quarantine.fingerprint import (
    Fingerprint,
    fingerprint_of,
    is_part,
    part_fingerprints,
)
from endivegw.quarantine.ledger import Ledger, QuarantinePolicy
from endivegw.quarantine.lost_sends import LostSends, TargetStart
from endivegw.quarantine.manager import QuarantineManager, QuarantineOptions
from endivegw.quarantine.rows import QUARANTINE_TABLE

__all__ = [
    "Evidence",
    "Fingerprint",
    "Ledger",
    "LostSends",
    "QUARANTINE_TABLE",
    "QuarantineManager",
    "QuarantineOptions",
    "QuarantinePolicy",
    "RequestRecord",
    "TargetStart",
    "TargetTerminated",
    "decode_starts",
    "encode_starts",
    "fingerprint_of",
    "is_part",
    "part_fingerprints",
]
