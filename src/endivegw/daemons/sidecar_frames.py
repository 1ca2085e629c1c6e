"""Encode a sidecar's answers as peer messages, and decode start messages."""

from __future__ import annotations

from typing import Iterable

from endivegw.peers._generated import endivegw_peers_pb2 as pb
from endivegw.requests.buffer import BufferEnd, BufferFailure, BufferHead
from endivegw.requests.starts import StartOrder
from endivegw.results import Reason, Refused
from endivegw.types import AttemptId, ClientAccountName, RequestIdentity

__all__ = [
    "answer_lost_frame",
    "header_fields",
    "head_frame",
    "decode_start_order",
    "outcome_frame",
    "refusal",
    "refusal_frame",
]

#: Value of ``retry_after_s`` on the wire if no time is known.
NO_RETRY_TIME = -1.0


def decode_start_order(start: pb.ExecuteStart) -> StartOrder:
    """Decode the order in a start message."""
    identity = RequestIdentity(
        ClientAccountName(start.client_account), start.idempotency_key
    )
    return StartOrder(
        identity,
        AttemptId(start.attempt_id),
        start.body_digest,
        start.repeatable,
        start.target_instance_id,
        start.join_only,
    )


def header_fields(fields: Iterable[pb.HeaderField]) -> tuple[tuple[str, str], ...]:
    """Return header fields as pairs."""
    return tuple((field.name, field.value) for field in fields)


def refusal(refused: Refused) -> pb.Refusal:
    """Encode a refusal."""
    after_s = refused.retry_after_s
    return pb.Refusal(
        reason=refused.reason.value,
        detail=refused.detail,
        retry_after_s=NO_RETRY_TIME if after_s is None else after_s,
    )


def refusal_frame(header: pb.Header, attempt_id: str, refused: Refused) -> pb.Frame:
    """Return the frame for an attempt of which nothing ran, with the reason."""
    return pb.Frame(attempt_id=attempt_id, refused=refusal(refused), header=header)


def head_frame(
    header: pb.Header, attempt_id: str, head: BufferHead | None, joined: bool
) -> pb.Frame:
    """Return the first frame of an answer.

    :param head: status and header fields of a plain service, None for an engine.
    """
    message = pb.AnswerHead(joined=joined)
    if head is not None:
        message.status = head.status
        for name, value in head.fields:
            message.fields.add(name=name, value=value)
    return pb.Frame(attempt_id=attempt_id, head=message, header=header)


def outcome_frame(
    header: pb.Header,
    attempt_id: str,
    length_bytes: int,
    outcome: BufferEnd | BufferFailure | Refused,
) -> pb.Frame:
    """Return the last frame of an answer."""
    match outcome:
        case BufferEnd():
            end = pb.AnswerEnd(
                length=outcome.length_bytes,
                prompt_tokens=outcome.usage.prompt_tokens,
                completion_tokens=outcome.usage.completion_tokens,
                finish_reason=outcome.finish_reason,
            )
            return pb.Frame(attempt_id=attempt_id, offset=length_bytes, end=end)
        case BufferFailure():
            failed = pb.AnswerFailed(
                reason=outcome.reason.value,
                detail=outcome.detail,
                prompt_tokens=outcome.usage.prompt_tokens,
                completion_tokens=outcome.usage.completion_tokens,
                usage_final=outcome.usage_final,
                target_end=outcome.target_end,
            )
            return pb.Frame(attempt_id=attempt_id, offset=length_bytes, failed=failed)
        case Refused():
            return refusal_frame(header, attempt_id, outcome)


def answer_lost_frame(attempt_id: str) -> pb.Frame:
    """Return the frame for a request that ran and whose answer is not retained."""
    failed = pb.AnswerFailed(
        reason=Reason.ANSWER_LOST.value,
        detail="the request was started; its answer is no longer retained",
        usage_final=True,
    )
    return pb.Frame(attempt_id=attempt_id, failed=failed)
