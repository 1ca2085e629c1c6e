"""What one request and the ends of targets have to do with each other."""

from __future__ import annotations

from endivegw.decisions import Placement
from endivegw.quarantine import Fingerprint, TargetStart
from endivegw.relay.admission import Admitted
from endivegw.relay.attempt import AttemptResult, End
from endivegw.relay.context import RelayContext
from endivegw.results import Refused

__all__ = ["Suspicion"]

#: The smallest status that is no success.
_REDIRECTION = 300


class Suspicion:
    """Report one request's attempts, and say whether it may go to further targets."""

    def __init__(self, context: RelayContext, admitted: Admitted) -> None:
        self._context = context
        self._admitted = admitted
        self._named: Fingerprint | None = None

    @property
    def fingerprint(self) -> Fingerprint:
        """Return the name of the request's content; its body is read once for it."""
        if self._named is None:
            self._named = self._admitted.fingerprint
        return self._named

    def refusal(self) -> Refused | None:
        """Return why no target may get the request, None where one may."""
        quarantine = self._context.quarantine
        if not len(quarantine.ledger):
            return None
        return quarantine.refuse(self.fingerprint)

    def bars_retry(self, result: AttemptResult) -> bool:
        """Return whether a lost attempt is not worth a second target."""
        return result.broken and self._context.quarantine.is_suspect(self.fingerprint)

    async def note(self, placement: Placement, result: AttemptResult) -> None:
        """Take in how an attempt ended."""
        if result.broken:
            start = TargetStart(placement.instance_id, placement.started_ms)
            await self._context.ends.lost(start, placement.address, self.fingerprint)
        elif result.end is End.ANSWERED and _is_success(result):
            self._context.quarantine.answered(self.fingerprint)


def _is_success(result: AttemptResult) -> bool:
    """Return whether a target ran the request to a good end; streams have passed."""
    return result.answer is None or result.answer.head.status < _REDIRECTION
