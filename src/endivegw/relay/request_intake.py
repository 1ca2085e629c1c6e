"""Decide, once the head of a request is known, whether to read its body."""

from __future__ import annotations

from typing import Protocol

from attrs import frozen

from endivegw.relay.answer_writer import AnswerWriter
from endivegw.relay.answers import router_answer
from endivegw.relay.messages import CallerRequest
from endivegw.results import Refused
from endivegw.types import ClientAccountName

__all__ = [
    "ANY_BODY",
    "NO_BODY",
    "BodyPlan",
    "RequestIntake",
]


@frozen
class BodyPlan:
    """Hold how the body of one request is read.

    :param account: client account of the request; None if it has none.
    """

    account: ClientAccountName | None = None


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
        """Return a plan for no account."""
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
