"""What one request's content and the ends of engines have to do with each other."""

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

__all__ = ["RequestContent"]


class RequestContent:
    """Report one request's attempts, and say whether it may go to further targets."""

    def __init__(self, plan: RequestPlan, quarantine: QuarantineManager) -> None:
        self._quarantine = quarantine
        #: None for a body that flows through: its digest does not tell it from others.
        self._fingerprint = _fingerprint(plan) if plan.can_be_sent_again else None

    def refusal(self) -> Refused | None:
        """Return why no target may get the request, None where one may."""
        if self._fingerprint is None:
            return None
        return self._quarantine.refuse(self._fingerprint)

    @property
    def is_suspect(self) -> bool:
        """Return whether the request is not worth a second target."""
        if self._fingerprint is None:
            return False
        return self._quarantine.is_suspect(self._fingerprint)

    def target_ended(self, end: str) -> None:
        """Take in that a target ended while it ran the request.

        :param end: names the start that ended.
        """
        if self._fingerprint is not None:
            start = TargetStart(InstanceId(end), None)
            self._quarantine.record_termination(start, [self._fingerprint])

    def answered(self) -> None:
        """Take in that a target ran the request to its end."""
        if self._fingerprint is not None:
            self._quarantine.answered(self._fingerprint)


def _fingerprint(plan: RequestPlan) -> Fingerprint:
    account = plan.request.account.client_account
    model = plan.model.encode()
    return fingerprint_of(b"", "", model, account, plan.facts.body_digest)
