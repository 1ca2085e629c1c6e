"""Metrics and the log line of a request that ended."""

from __future__ import annotations

from attrs import frozen

from endivegw.decisions import Placement
from endivegw.relay.admission import AdmittedRequest
from endivegw.relay.context import RelayContext
from endivegw.relay.request_progress import RequestProgress
from endivegw.telemetry.catalogue import relay as events

__all__ = ["RequestEnd", "record_placement", "record_request_end"]


@frozen
class RequestEnd:
    """Hold how a request ended, besides its progress.

    :param outcome: ``answered``, ``caller-left``, ``cancelled`` (the router ended the
        connection), ``stopped``, ``failed``, ``deadline``, ``cut`` or the reason of the
        router's own answer.
    :param cut: whether an answer was started and not finished.
    :param software_version: version of the software that ran a stream.
    """

    outcome: str
    reserved_tokens: int
    charged_tokens: int
    cut: bool
    software_version: str | None


def record_placement(
    context: RelayContext,
    admitted: AdmittedRequest,
    placement: Placement,
    reserved_tokens: int,
) -> None:
    """Count the placement of a request on a target, and log it."""
    figures = placement.figures
    context.metrics.queued(figures.queued_s)
    context.log.emit(
        events.REQUEST_PLACED,
        request_id=admitted.request_id,
        client_account=admitted.account_name,
        target=placement.target,
        why=placement.why,
        load=round(figures.load, 3),
        cached_tokens=figures.cached_tokens,
        copied_tokens=figures.copied_tokens,
        queued_s=round(figures.queued_s, 4),
        finish_s=round(figures.finish_s, 3),
        reserved_tokens=reserved_tokens,
        software_version=placement.software_version or None,
    )


def record_request_end(
    context: RelayContext,
    admitted: AdmittedRequest,
    progress: RequestProgress,
    end: RequestEnd,
) -> None:
    """Count an admitted request that ended, and log it."""
    arrived_s = admitted.request.arrived_s
    took_s = context.clock() - arrived_s
    first_s = progress.first_data_s
    if first_s is not None:
        first_s -= arrived_s
    context.metrics.ended(admitted.route.kind.value, end.outcome, first_s, took_s)
    context.log.emit(
        events.REQUEST_ENDED,
        request_id=admitted.request_id,
        client_account=admitted.account_name,
        route=admitted.route.name,
        service=admitted.service,
        outcome=end.outcome,
        target=progress.target,
        sends=progress.send_count,
        events=progress.stream_progress.events,
        first_s=None if first_s is None else round(first_s, 4),
        objective_s=admitted.route.objective_s,
        longest_gap_s=round(max(progress.pauses_s, default=0.0), 4),
        took_s=round(took_s, 4),
        prompt_tokens=admitted.metadata.prompt_tokens,
        most_output_tokens=admitted.metadata.max_output_tokens,
        reserved_tokens=end.reserved_tokens,
        charged_tokens=end.charged_tokens,
        cut=end.cut,
        resumes=admitted.metadata.resumes,
        software_version=end.software_version,
    )
