"""Messages between a router's HTTP front and the run of one request."""

from __future__ import annotations

from typing import AsyncIterator, Protocol

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
    """Hold a generation that a caller asked for."""

    body: bytes
    chat: bool
    model: str
    adapter: str
    texts: tuple[str, ...]
    prefix_text: str
    max_tokens: int | None


@frozen
class ServiceCall:
    """Hold a call of a plain service.

    :param body: the whole body where it was small enough to be held.
    :param rest: what follows ``body`` where it was not; such a call cannot be
        sent twice.
    """

    service: str
    method: str
    path: str
    fields: tuple[tuple[str, str], ...]
    body: bytes
    rest: AsyncIterator[bytes] | None = field(default=None, eq=False)


@frozen
class RoutedRequest:
    """Hold one accepted request.

    :param request_id: unique, for logs and the answer's header.
    :param idempotency_key: the caller's, None where it sent none.
    :param deadline_s: on the router's clock.
    :param streams: whether the caller reads the answer while it is made.
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


@frozen
class Answered:
    """Say that the caller has the whole answer."""

    usage: Usage


@frozen
class RefusedTry:
    """Say that this try started nothing, and that an earlier one may have.

    The request's idempotency key was not looked up, so that nobody can say whether
    another router ran it.
    """

    refused: Refused


#: Ends without an answer, each with a reason.
NotAnswered = Refused | RefusedTry | Unknown

RequestEnd = Answered | NotAnswered


class AnswerSink(Protocol):
    """Where the bytes of an answer go, in order and once."""

    def reset(self) -> None:
        """Drop bytes that are held back: the answer begins anew."""

    async def head(self, status: int, fields: tuple[tuple[str, str], ...]) -> None:
        """Take the status and header fields; called once, before any data."""

    async def data(self, data: bytes) -> None:
        """Take the next bytes of the answer."""
