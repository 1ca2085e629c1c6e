"""Compute the fixed parameters of a request before it is executed, without I/O."""

from __future__ import annotations

import hashlib

from attrs import frozen

from endivegw.budgets.bound import RequestBound, request_bound
from endivegw.daemons.routed import EngineCall, RoutedRequest, ServiceCall
from endivegw.decisions import (
    SERVICE_PREFIX,
    PrefixScheme,
    WorkItem,
    prefix_digests,
)
from endivegw.quarantine import Fingerprint, part_fingerprints
from endivegw.requests.steps import RequestFacts
from endivegw.types import RequestIdentity, TargetName

__all__ = ["PREFIX_SCHEME", "RequestPlan", "plan_request", "work_item"]

#: How the supported engines identify prompt prefixes in their cache events.
PREFIX_SCHEME = PrefixScheme()


@frozen
class RequestPlan:
    """Hold the parameters that stay fixed for one request.

    :param bound: the maximum number of tokens that one attempt may consume; zero
        for a plain service.
    :param model: the model with its adapter, or the service, that targets must serve.
    :param prefixes: digests of the prompt's leading blocks.
    :param parts: fingerprints of the messages that other prompts may share.
    """

    request: RoutedRequest
    facts: RequestFacts
    bound: RequestBound
    model: str
    prefixes: tuple[bytes, ...]
    parts: tuple[Fingerprint, ...] = ()

    @property
    def is_resendable(self) -> bool:
        """Return whether the body is buffered, not streamed."""
        call = self.request.call
        return not (isinstance(call, ServiceCall) and call.rest is not None)


def plan_request(request: RoutedRequest) -> RequestPlan:
    """Return the plan for a request."""
    parts: tuple[Fingerprint, ...] = ()
    match request.call:
        case EngineCall() as call:
            digest = hashlib.sha256(call.body).digest()
            limit_tokens = request.account.max_output_tokens
            bound = request_bound(call.texts, call.max_tokens, limit_tokens)
            model = f"{call.model}+{call.adapter}" if call.adapter else call.model
            prefixes = prefix_digests(call.prefix_text, PREFIX_SCHEME)
            parts = part_fingerprints(model, [text.encode() for text in call.texts])
        case ServiceCall() as call:
            request_line = f"{call.service} {call.method} {call.path}\n"
            digest = hashlib.sha256(request_line.encode() + call.body).digest()
            bound = RequestBound(0, 0)
            model = SERVICE_PREFIX + call.service
            prefixes = ()
    facts = RequestFacts(
        identity=RequestIdentity(
            request.account.client_account,
            request.idempotency_key or request.request_id,
        ),
        body_digest=digest,
        keyed=request.idempotency_key is not None,
        repeatable=request.repeatable,
        deadline_s=request.deadline_s,
        streams=request.streams,
    )
    return RequestPlan(request, facts, bound, model, prefixes, parts)


def work_item(plan: RequestPlan, avoid: frozenset[TargetName]) -> WorkItem:
    """Return the request as a work item for the dispatcher."""
    request = plan.request
    return WorkItem(
        request_id=request.request_id,
        client_account=request.account.client_account,
        priority=request.priority,
        weight=request.account.weight,
        model=plan.model,
        deadline_s=request.deadline_s,
        prompt_tokens=plan.bound.prompt_tokens,
        output_tokens=plan.bound.completion_tokens,
        arrived_s=request.arrived_s,
        prefix_digests=plan.prefixes,
        excluded=avoid,
    )
