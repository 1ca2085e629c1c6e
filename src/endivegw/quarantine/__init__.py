"""Keep requests that end the targets that run them away from further targets."""

from endivegw.quarantine.evidence import (
    Evidence,
    RequestRecord,
    TargetEnded,
    read_starts,
    write_starts,
)
from endivegw.quarantine.fingerprint import Fingerprint, fingerprint_of
from endivegw.quarantine.keeper import QuarantineKeeper, QuarantineOptions
from endivegw.quarantine.ledger import Ledger, QuarantinePolicy
from endivegw.quarantine.lost_sends import LostSends, TargetStart
from endivegw.quarantine.rows import QUARANTINE_TABLE

__all__ = [
    "Evidence",
    "Fingerprint",
    "Ledger",
    "LostSends",
    "QUARANTINE_TABLE",
    "QuarantineKeeper",
    "QuarantineOptions",
    "QuarantinePolicy",
    "RequestRecord",
    "TargetEnded",
    "TargetStart",
    "fingerprint_of",
    "read_starts",
    "write_starts",
]
