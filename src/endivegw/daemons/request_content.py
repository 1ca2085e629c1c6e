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

    def refusal(self) -> Refused | None:
        """Return the reason why no target may run the request, None if one may."""
        if self._fingerprint is None:
            return None
        return self._quarantine.refuse(self._fingerprint)

    @property
    def is_suspect(self) -> bool:
        """Return whether the request must not be retried at a second target."""
        if self._fingerprint is None:
            return False
        return self._quarantine.is_suspect(self._fingerprint)

    def target_ended(self, end: str) -> None:
        """Record that a target terminated while it ran the request.

        :param end: identifier of the target's start that terminated.
        """
        if self._fingerprint is not None:
            start = TargetStart(InstanceId(end), None)
            self._quarantine.record_termination(start, [self._fingerprint])

    def answered(self) -> None:
        """Record that a target completed the request."""
        if self._fingerprint is not None:
            self._quarantine.answered(self._fingerprint)


def _fingerprint(plan: RequestPlan) -> Fingerprint:
    account = plan.request.account.client_account
    model = plan.model.encode()
    return fingerprint_of(b"", "", model, account, plan.facts.body_digest)
