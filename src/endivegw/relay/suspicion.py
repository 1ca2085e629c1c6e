"""Quarantine checks for one request that may have terminated a target."""

from __future__ import annotations

from endivegw.decisions import Placement
from endivegw.quarantine import Fingerprint, TargetStart
from endivegw.relay.admission import AdmittedRequest
from endivegw.relay.attempt import AttemptOutcome, AttemptResult
from endivegw.relay.context import RelayContext
from endivegw.results import Refused

__all__ = ["QuarantineCheck"]

#: The lowest HTTP status that is not a success.
_REDIRECTION = 300


class QuarantineCheck:
    """Report a request's attempts, and decide whether it may be sent again."""

    def __init__(self, context: RelayContext, admitted: AdmittedRequest) -> None:
        self._context = context
        self._admitted = admitted
        self._fingerprint: Fingerprint | None = None

    @property
    def fingerprint(self) -> Fingerprint:
        """Return the fingerprint of the content, computed from the body only once."""
        if self._fingerprint is None:
            self._fingerprint = self._admitted.fingerprint
        return self._fingerprint

    def refusal(self) -> Refused | None:
        """Return the refusal of a quarantined request, None if it may be sent."""
        quarantine = self._context.quarantine
        if not len(quarantine.ledger):
            return None
        return quarantine.refuse(self.fingerprint)

    def forbids_retry(self, result: AttemptResult) -> bool:
        """Return whether a lost attempt must not be retried on a second target."""
        return result.broken and self._context.quarantine.is_suspect(self.fingerprint)

    async def record_attempt(self, placement: Placement, result: AttemptResult) -> None:
        """Record the result of an attempt for the quarantine."""
        if result.broken:
            start = TargetStart(placement.instance_id, placement.started_ms)
            await self._context.terminations.record_lost_send(
                start, placement.address, self.fingerprint
            )
        elif result.outcome is AttemptOutcome.ANSWERED and _is_success(result):
            self._context.quarantine.answered(self.fingerprint)


def _is_success(result: AttemptResult) -> bool:
    """Return whether the request succeeded; a relayed stream always has."""
    return result.answer is None or result.answer.head.status < _REDIRECTION
