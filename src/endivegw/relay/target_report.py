"""Apply what a target reports about itself in the header fields of its answers."""

from __future__ import annotations

import math

from endivegw.decisions import Placement
from endivegw.quarantine import TargetStart
from endivegw.relay.context import RelayContext
from endivegw.relay.wire import AnswerMetadata
from endivegw.telemetry.catalogue import relay as events

__all__ = ["apply_target_report"]

#: Maximum number of unknown fields whose names are logged and retained.
_MAX_UNKNOWN_FIELDS = 32

#: Maximum length of a logged value.
_MAX_LOGGED_BYTES = 64

#: Maximum share by which a pause is extended at random, so that the routers do not
#: all resume sending at the same instant.
_PAUSE_JITTER = 0.1


def apply_target_report(
    context: RelayContext,
    request_id: str,
    placement: Placement,
    status: int,
    metadata: AnswerMetadata,
    sent_s: float,
) -> None:
    """Apply that a target leaves, warms up, asks for a pause or limits its requests.

    An answer without an id belongs to no request, and says nothing about the target.

    :param request_id: id of the request during which the answer was read.
    :param placement: placement of that request; its connection delivered the answer.
    :param status: HTTP status of the answer.
    :param metadata: what the header fields of the answer state.
    :param sent_s: time at which that request was sent.
    """
    start = TargetStart(placement.instance_id, placement.started_ms)
    if metadata.request_id != request_id:
        _record_unmatched(context, request_id, placement, status, metadata)
    if metadata.request_id is None:
        return
    _log_unknown_fields(context, request_id, placement, metadata)
    if not metadata.replaced and not metadata.limit_unreadable:
        is_late = metadata.request_id != request_id
        # A late answer belongs to a request that was sent earlier.
        answered_sent_s = -math.inf if is_late else sent_s
        context.on_limit(start, metadata.limit_per_s, answered_sent_s)
    if metadata.warm_up_s is not None:
        context.on_warm_up(start, metadata.warm_up_s)
    if not metadata.leaving and metadata.pause_s is None:
        return
    context.log.emit(
        events.TARGET_REPORTED,
        request_id=request_id,
        target=placement.target,
        leaving=metadata.leaving,
        pause_s=metadata.pause_s,
    )
    if metadata.leaving:
        context.on_leaving(start, "answer")
    if metadata.pause_s is not None:
        pause_s = metadata.pause_s * (1.0 + _PAUSE_JITTER * context.rng.random())
        until_s = context.clock() + pause_s
        availability = context.queue.dispatcher.availability
        availability.back_off(placement.target, placement.started_ms, until_s)


def _record_unmatched(
    context: RelayContext,
    request_id: str,
    placement: Placement,
    status: int,
    metadata: AnswerMetadata,
) -> None:
    """Count and log an answer that does not carry the id of the current request."""
    context.metrics.record_unmatched_answer(metadata.request_id is not None)
    context.log.emit(
        events.ANSWER_UNMATCHED,
        request_id=request_id,
        target=placement.target,
        status=status,
        answer_id=metadata.request_id,
        not_run=metadata.not_run,
    )


def _log_unknown_fields(
    context: RelayContext,
    request_id: str,
    placement: Placement,
    metadata: AnswerMetadata,
) -> None:
    """Log fields that the adapter does not read, so that a new one is noticed."""
    logged = context.unknown_answer_fields
    for name, value in metadata.unknown_fields:
        if name in logged or len(logged) >= _MAX_UNKNOWN_FIELDS:
            continue
        logged.add(name)
        context.log.emit(
            events.ANSWER_FIELD_UNKNOWN,
            request_id=request_id,
            target=placement.target,
            field=name.decode("latin-1"),
            value=value[:_MAX_LOGGED_BYTES].decode("latin-1"),
        )
