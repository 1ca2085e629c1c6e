"""Interface between the relay and the header fields of a deployment.

The relay implements HTTP. Which header fields carry a request's id, deadline or
account depends on the deployment; an adapter that implements :class:`WirePort`
translates them.
"""

from __future__ import annotations

from typing import Protocol

from attrs import frozen

from endivegw.results import Refused
from endivegw.types import ClientAccountName, InstanceId

__all__ = [
    "AnswerMetadata",
    "CallerMetadata",
    "HeaderFields",
    "PromptPart",
    "SendMetadata",
    "WirePort",
]

#: Header fields in order, with names in lower case.
HeaderFields = list[tuple[bytes, bytes]]


@frozen
class PromptPart:
    """Hold one part of a prompt, which other prompts may share.

    :param part_id: identifies the text of this part.
    """

    part_id: str
    tokens: int


@frozen
class CallerMetadata:
    """Hold the metadata in a caller's header fields.

    :param request_id: the caller's id of this attempt; None if it sent none.
    :param key: the account's key; None if the request carries none.
    :param deadline_s: seconds from now that the caller waits; None if not stated.
    :param prompt_tokens: None if the request is not for a model.
    :param max_output_tokens: maximum number of tokens that may be generated.
    :param parts: the parts of the prompt in order.
    :param resume_after: id of the last event that the caller has received; None if
        the stream starts from the beginning.
    :param resumes: id of the caller's attempt that brought the first event of the
        stream; None if not stated.
    """

    request_id: str | None
    key: str | None
    deadline_s: float | None
    prompt_tokens: int | None = None
    max_output_tokens: int = 0
    parts: tuple[PromptPart, ...] = ()
    resume_after: int | None = None
    resumes: str | None = None


@frozen
class SendMetadata:
    """Hold the metadata that is added to a request sent to a target.

    :param deadline_s: seconds from now until the request's deadline.
    :param priority: 0 is served first; None selects the engine's default.
    :param resume_after: id of the last event that the caller has received; None if
        the stream starts from the beginning.
    :param copy_from: address of a target whose cached tokens are copied first.
    """

    instance_id: InstanceId
    client_account: ClientAccountName | None
    deadline_s: float
    priority: int | None = None
    resume_after: int | None = None
    copy_from: str | None = None


@frozen
class AnswerMetadata:
    """Hold the metadata in the header fields of a target's answer.

    :param request_id: id of the request that is answered; None if not stated.
    :param not_run: whether the target states that it did not run the request.
    :param replaced: whether another instance than the addressed one answered.
    :param leaving: whether the target announces that it shuts down.
    :param pause_s: how long the target asks to receive no requests; None if it does
        not ask for a pause.
    :param warm_up_s: how long the target still warms up; None if it does not say so.
    :param limit_per_s: requests per second that the target accepts from all routers
        together; None if it states no limit.
    :param limit_unreadable: whether it states a limit that is malformed.
    :param unknown_fields: fields of the deployment that the adapter does not read, and
        those with malformed values.
    """

    request_id: str | None
    not_run: bool
    replaced: bool = False
    leaving: bool = False
    pause_s: float | None = None
    warm_up_s: float | None = None
    limit_per_s: float | None = None
    limit_unreadable: bool = False
    unknown_fields: tuple[tuple[bytes, bytes], ...] = ()


class WirePort(Protocol):
    """Read and write the header fields of a deployment."""

    def read_caller_fields(self, fields: HeaderFields) -> CallerMetadata | Refused:
        """Return the metadata of a request; refused if a field is malformed."""

    def write_target_fields(
        self, fields: HeaderFields, metadata: SendMetadata
    ) -> HeaderFields:
        """Return the fields for a target: the caller's and the added ones."""

    def read_answer_fields(self, status: int, fields: HeaderFields) -> AnswerMetadata:
        """Return the metadata of an answer."""

    def probe_path(self) -> bytes | None:
        """Return a path at which an engine responds without a slot; None if none."""

    def router_answer_fields(self, request_id: str | None) -> HeaderFields:
        """Return the fields that every router-generated answer carries."""
