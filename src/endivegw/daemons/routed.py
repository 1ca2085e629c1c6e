"""Types exchanged between a router's HTTP frontend and the execution of requests."""

from __future__ import annotations

from typing import AsyncIterator, Callable, Protocol

from attrs import field, frozen

from endivegw.configuration import AccountParameters
from endivegw.results import Refused, Unknown
from endivegw.types import BudgetKey, Priority, Usage

__all__ = [
    "AnswerSink",
    "Answered",
    "EngineCall",
    "NotAnswered",
    "RefusedTry",
    "RequestEnd",
    "RoutedRequest",
    "ServiceCall",
]


@frozen
class EngineCall:
    """Hold a generation that a caller requested from an engine."""

    body: bytes
    chat: bool
    model: str
    adapter: str
    texts: tuple[str, ...]
    prefix_text: str
    max_tokens: int | None


@frozen
class ServiceCall:
    """Hold a call to a plain service.

    :param body: the complete body if it was small enough to be buffered, otherwise
        its start.
    :param rest: the remainder of a body that was not buffered; such a call cannot be
        sent twice.
    """

    service: str
    method: str
    path: str
    fields: tuple[tuple[str, str], ...]
    body: bytes
    rest: AsyncIterator[bytes] | None = field(default=None, eq=False)


def _never_left() -> None:
    """Do nothing: the caller's connection is not known."""


@frozen
class RoutedRequest:
    """Hold one accepted request.

    :param request_id: unique id for logs and the answer's header.
    :param idempotency_key: the caller's key, None if it sent none.
    :param arrived_s: time on the router's clock.
    :param deadline_s: time on the router's clock.
    :param streams: whether the caller receives the answer while it is generated.
    :param cancel_if_caller_left: called right before the request is sent to a target;
        cancels the request if its caller has disconnected.
    """

    request_id: str
    account: AccountParameters
    call: EngineCall | ServiceCall
    budget: BudgetKey
    idempotency_key: str | None
    repeatable: bool
    priority: Priority
    arrived_s: float
    deadline_s: float
    streams: bool = True
    cancel_if_caller_left: Callable[[], None] = field(default=_never_left, eq=False)


@frozen
class Answered:
    """Result of a request whose caller was sent the complete answer."""

    usage: Usage


@frozen
class RefusedTry:
    """Result of a try that started nothing, although an earlier try may have.

    The request's idempotency key was not looked up, so it is not known whether
    another router ran the request.
    """

    refused: Refused


#: Results without a complete answer; each has a reason.
NotAnswered = Refused | RefusedTry | Unknown

RequestEnd = Answered | NotAnswered


class AnswerSink(Protocol):
    """Receive the bytes of an answer, in order and once."""

    def reset(self) -> None:
        """Drop buffered bytes: the answer starts again from the first byte."""

    async def head(self, status: int, fields: tuple[tuple[str, str], ...]) -> None:
        """Receive the status and header fields; called once, before any data."""

    async def data(self, data: bytes) -> None:
        """Receive the next bytes of the answer."""
