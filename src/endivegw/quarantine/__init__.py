"""Keep requests that end the targets that run them away from further targets."""

from endivegw.quarantine.fingerprint import Fingerprint, fingerprint_of
from endivegw.quarantine.lost_sends import LostSends, TargetStart

__all__ = ["Fingerprint", "LostSends", "TargetStart", "fingerprint_of"]
