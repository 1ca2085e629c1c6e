"""Build the message that starts an attempt from a request's plan, without I/O."""

from __future__ import annotations

from endivegw.budgets import Reservation
from endivegw.daemons.request_plan import RequestPlan
from endivegw.daemons.routed import EngineCall, ServiceCall
from endivegw.peers._generated import endivegw_peers_pb2 as pb

__all__ = ["start_message"]


def start_message(
    plan: RequestPlan, header: pb.Header, reservation: Reservation | None, now_s: float
) -> pb.ExecuteStart:
    """Return the start message, without the fields that the driver adds."""
    facts = plan.facts
    request = plan.request
    start = pb.ExecuteStart(
        header=header,
        client_account=facts.identity.client_account,
        idempotency_key=facts.identity.idempotency_key,
        body_digest=facts.body_digest,
        repeatable=facts.repeatable,
        budget=request.budget.budget,
        remaining_s=max(0.0, facts.deadline_s - now_s),
        priority=int(request.priority),
    )
    if reservation is not None:
        start.grant_id = reservation.grant_id
        start.reservation_tokens = reservation.tokens
    match request.call:
        case EngineCall() as call:
            start.engine.CopyFrom(_engine_work(plan, call))
        case ServiceCall() as call:
            start.service.CopyFrom(_service_work(call))
    return start


def _engine_work(plan: RequestPlan, call: EngineCall) -> pb.EngineWork:
    return pb.EngineWork(
        model=call.model,
        adapter=call.adapter,
        body=call.body,
        chat=call.chat,
        prompt_bound_tokens=plan.bound.prompt_tokens,
        max_completion_tokens=plan.bound.completion_tokens,
    )


def _service_work(call: ServiceCall) -> pb.ServiceWork:
    return pb.ServiceWork(
        service=call.service,
        method=call.method,
        path=call.path,
        fields=[pb.HeaderField(name=name, value=value) for name, value in call.fields],
        more_body=call.rest is not None,
        body=call.body,
    )
