"""Decide, once the head of a request is known, whether to read its body."""

from __future__ import annotations

import math
from typing import Protocol

from attrs import frozen

from endivegw.relay.answer_writer import AnswerWriter
from endivegw.relay.answers import router_answer
from endivegw.relay.messages import CallerRequest
from endivegw.results import Refused
from endivegw.types import ClientAccountName

__all__ = [
    "ANY_BODY",
    "DEFAULT_MAX_BODY_S",
    "NO_BODY",
    "BodyPlan",
    "RequestIntake",
]

#: Longest time for the body of a request; a body of 4 MB needs it at 0.3 Mbit/s.
DEFAULT_MAX_BODY_S = 120.0


@frozen
class BodyPlan:
    """Hold how the body of one request is read.

    :param account: client account of the request; None if it has none.
    :param due_s: time by which the body must be complete.
    """

    account: ClientAccountName | None = None
    due_s: float = math.inf


class RequestIntake(Protocol):
    """Decide on the bodies of requests."""

    def plan_body(self, request: CallerRequest) -> BodyPlan | None:
        """Return how to read the body; None to answer the request without it.

        :param request: the request without its body.
        """

    async def refuse(
        self, request: CallerRequest, refused: Refused, writer: AnswerWriter
    ) -> None:
        """Refuse a request whose body was not read."""


class _AnyBody:
    """Read the bodies of all requests."""

    def plan_body(self, request: CallerRequest) -> BodyPlan | None:
        """Return a plan without bounds."""
        return BodyPlan()

    async def refuse(
        self, request: CallerRequest, refused: Refused, writer: AnswerWriter
    ) -> None:
        """Answer with the status of the refusal."""
        answer = router_answer(refused)
        await writer.send_complete(answer.status, answer.fields(), answer.body())


class _NoBody(_AnyBody):
    """Answer all requests without their bodies."""

    def plan_body(self, request: CallerRequest) -> BodyPlan | None:
        """Return None."""
        return None


ANY_BODY = _AnyBody()
NO_BODY = _NoBody()
