"""Connect one request to the quarantine of requests that terminate targets."""

from __future__ import annotations

from endivegw.daemons.request_plan import RequestPlan
from endivegw.quarantine import (
    Fingerprint,
    QuarantineManager,
    TargetStart,
    fingerprint_of,
)
from endivegw.results import Refused
from endivegw.types import InstanceId

__all__ = ["RequestQuarantine"]


class RequestQuarantine:
    """Report one request's attempts to the quarantine, and query its decisions."""

    def __init__(self, plan: RequestPlan, quarantine: QuarantineManager) -> None:
        self._quarantine = quarantine
        #: None for a streamed body, whose digest covers only its start and does not
        #: identify the request.
        self._fingerprint = _fingerprint(plan) if plan.is_resendable else None
        self._parts = plan.parts
        self._is_trial = False

    def refusal(self) -> Refused | None:
        """Return the reason why no target may run the request, None if one may."""
        if self._fingerprint is None or self._is_trial:
            return None
        refused = self._quarantine.refuse(self._fingerprint, *self._parts)
        if refused is not None:
            self._is_trial = self._quarantine.start_trial(
                self._fingerprint, *self._parts
            )
        return None if self._is_trial else refused

    @property
    def is_suspect(self) -> bool:
        """Return whether the request must not be retried at a second target."""
        if self._fingerprint is None:
            return False
        return self._quarantine.is_suspect(self._fingerprint, *self._parts)

    def target_ended(self, end: str, *, begun: bool) -> None:
        """Record that a target terminated while it ran the request.

        :param end: identifier of the target's start that terminated.
        :param begun: whether the target had begun to write the answer.
        """
        if self._fingerprint is not None:
            start = TargetStart(InstanceId(end), None)
            parts = () if begun else self._parts
            self._quarantine.record_termination(start, [self._fingerprint, *parts])

    def answer_begun(self) -> None:
        """Record that a target writes the answer."""
        for part in self._parts:
            self._quarantine.answered(part)

    def answered(self) -> None:
        """Record that a target completed the request."""
        if self._fingerprint is not None:
            self._quarantine.answered(self._fingerprint)


def _fingerprint(plan: RequestPlan) -> Fingerprint:
    account = plan.request.account.client_account
    model = plan.model.encode()
    return fingerprint_of(b"", "", model, account, plan.facts.body_digest)
