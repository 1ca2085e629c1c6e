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
    """Report a request's attempts, and decide whether it may be sent again.

    :ivar blamed: the fingerprint for which the request was refused; None if it was not.
    """

    def __init__(self, context: RelayContext, admitted: AdmittedRequest) -> None:
        self._context = context
        self._admitted = admitted
        self._fingerprint: Fingerprint | None = None
        self._parts: tuple[Fingerprint, ...] | None = None
        #: Whether this request is sent to show if one of its parts is the cause.
        self._is_trial = False
        self.blamed: Fingerprint | None = None

    @property
    def fingerprint(self) -> Fingerprint:
        """Return the fingerprint of the content, computed from the body only once."""
        if self._fingerprint is None:
            self._fingerprint = self._admitted.fingerprint
        return self._fingerprint

    @property
    def parts(self) -> tuple[Fingerprint, ...]:
        """Return the fingerprints of the prompt's parts, computed only once."""
        if self._parts is None:
            self._parts = self._admitted.part_fingerprints
        return self._parts

    def refusal(self) -> Refused | None:
        """Return the refusal of a quarantined request, None if it may be sent."""
        quarantine = self._context.quarantine
        if self._is_trial or not len(quarantine.ledger):
            return None
        found = quarantine.find_quarantined(self.fingerprint, *self.parts)
        if found is None:
            return None
        if quarantine.start_trial(self.fingerprint, *self.parts):
            self._is_trial = True
            return None
        self.blamed = found
        return quarantine.refusal(found)

    def is_suspect(self) -> bool:
        """Return whether the request may have terminated a target."""
        quarantine = self._context.quarantine
        return quarantine.is_suspect(self.fingerprint, *self.parts)

    def forbids_retry(self, result: AttemptResult) -> bool:
        """Return whether a lost attempt must not be retried on a second target."""
        return result.broken and self.is_suspect()

    def begin_answer(self) -> None:
        """Record that the target of an attempt writes an answer."""
        for part in self.parts:
            self._context.quarantine.answered(part)

    async def record_attempt(
        self, placement: Placement, result: AttemptResult, begun: bool
    ) -> None:
        """Record the result of an attempt for the quarantine.

        :param begun: whether the target had begun its answer.
        """
        if result.broken:
            start = TargetStart(placement.instance_id, placement.started_ms)
            suspects = (self.fingerprint,) if begun else self._all
            await self._context.terminations.record_lost_send(
                start, placement.address, suspects
            )
        elif result.outcome is AttemptOutcome.ANSWERED and _is_success(result):
            self._context.quarantine.answered(self.fingerprint)
            if not begun:
                self.begin_answer()

    @property
    def _all(self) -> tuple[Fingerprint, ...]:
        return (self.fingerprint, *self.parts)


def _is_success(result: AttemptResult) -> bool:
    """Return whether the request succeeded; a relayed stream always has."""
    return result.answer is None or result.answer.head.status < _REDIRECTION
