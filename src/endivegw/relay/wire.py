"""What a deployment's header fields mean, as the relay needs it.

The relay knows HTTP. Which fields carry a request's id, deadline or account is
the deployment's matter; an adapter says it through :class:`WirePort`.
"""

from __future__ import annotations

from typing import Protocol

from attrs import frozen

from endivegw.results import Refused
from endivegw.types import ClientAccountName, InstanceId

__all__ = [
    "AnswerMarks",
    "CallerMarks",
    "HeaderFields",
    "PromptPart",
    "SendMarks",
    "WirePort",
]

#: Header fields in order; names in lower case.
HeaderFields = list[tuple[bytes, bytes]]


@frozen
class PromptPart:
    """Hold one part of a prompt, which other prompts may share."""

    part_id: str
    tokens: int


@frozen
class CallerMarks:
    """Hold what a caller's header fields say.

    :param request_id: the caller's id of this attempt; None where it sent none.
    :param key: the account's key; None where there is none.
    :param deadline_s: how long the caller waits from now; None where unsaid.
    :param prompt_tokens: None where the request is not for a model.
    :param most_output_tokens: the most that may be generated.
    :param parts: the prompt in order.
    :param resume_after: the last event that the caller has; None at the start.
    """

    request_id: str | None
    key: str | None
    deadline_s: float | None
    prompt_tokens: int | None = None
    most_output_tokens: int = 0
    parts: tuple[PromptPart, ...] = ()
    resume_after: int | None = None


@frozen
class SendMarks:
    """Hold what a send to a target adds.

    :param priority: 0 goes first; None for the engine's usual.
    :param resume_after: the last event that the caller has; None at the start.
    :param copy_from: address of a target whose cached tokens are copied first.
    """

    instance_id: InstanceId
    client_account: ClientAccountName | None
    deadline_s: float
    priority: int | None = None
    resume_after: int | None = None
    copy_from: str | None = None


@frozen
class AnswerMarks:
    """Hold what a target's header fields say.

    :param request_id: whose answer it is; None where it does not say.
    :param not_run: whether the target states that it did not run the request.
    :param replaced: whether it is another instance than the one that was meant.
    :param leaving: whether the target says that it leaves.
    :param pause_s: for how long the target wants nothing more; None where it does not
        say.
    """

    request_id: str | None
    not_run: bool
    replaced: bool = False
    leaving: bool = False
    pause_s: float | None = None


class WirePort(Protocol):
    """Read and write the header fields of a deployment."""

    def read_caller(self, fields: HeaderFields) -> CallerMarks | Refused:
        """Return what a request says; refused where a field is malformed."""

    def write_send(self, fields: HeaderFields, marks: SendMarks) -> HeaderFields:
        """Return the fields for a target: the caller's own and those added."""

    def read_answer(self, status: int, fields: HeaderFields) -> AnswerMarks:
        """Return what an answer says."""

    def own_answer(self, request_id: str | None) -> HeaderFields:
        """Return the fields that an answer of the router itself carries."""
