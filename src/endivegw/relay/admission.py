"""Decide what a request is: its route, account, deadline and size."""

from __future__ import annotations

import random
from itertools import accumulate

from attrs import frozen

from endivegw.decisions import SERVICE_PREFIX, WorkItem
from endivegw.quarantine import Fingerprint, fingerprint_of
from endivegw.relay.messages import CallerRequest
from endivegw.relay.wire import CallerMarks, PromptPart, WirePort
from endivegw.results import Reason, Refused
from endivegw.routing import ClientAccount, Route, RoutingTable, ServiceKind
from endivegw.types import ClientAccountName, Priority, TargetName

__all__ = ["Admitted", "admit", "model_of", "part_digests", "work_item"]

#: What a caller waits at most where it does not say.
_USUAL_DEADLINE_S = 60.0


@frozen
class Admitted:
    """Hold a request that the configuration allows.

    :param deadline_s: when its answer must be there, on the router's clock.
    """

    request: CallerRequest
    marks: CallerMarks
    route: Route
    service: str
    service_kind: ServiceKind
    account: ClientAccount | None
    deadline_s: float
    request_id: str

    @property
    def fingerprint(self) -> Fingerprint:
        """Return the name of its content, which its repeats share."""
        request = self.request
        account = self.account.name if self.account is not None else None
        return fingerprint_of(
            request.method, request.host, request.target, account, request.body
        )

    @property
    def tokens(self) -> int:
        """Return the most tokens that it may consume; 0 where none count."""
        if self.marks.prompt_tokens is None:
            return 0
        return self.marks.prompt_tokens + self.marks.most_output_tokens

    @property
    def metered(self) -> bool:
        """Return whether a prepaid budget covers it."""
        account = self.account
        return (
            self.tokens > 0
            and account is not None
            and (account.prepaid_tokens is not None)
        )


def admit(
    request: CallerRequest,
    table: RoutingTable | None,
    wire: WirePort,
    rng: random.Random,
    now_s: float,
) -> Admitted | Refused:
    """Return what a request is, or why it is refused."""
    marks = wire.read_caller(request.fields)
    if isinstance(marks, Refused):
        return marks
    if table is None:
        return Refused(Reason.NOT_READY, "no configuration is known yet", 1.0)
    route = table.route(request.host, request.path)
    if route is None:
        return Refused(Reason.UNKNOWN_SERVICE, "no route for this host and path")
    account = table.account(marks.key) if marks.key is not None else None
    if account is None and table.needs_key(route):
        return Refused(Reason.BAD_KEY, "no client account has this key")
    waits_s = _USUAL_DEADLINE_S if marks.deadline_s is None else marks.deadline_s
    service = table.service(route, rng)
    return Admitted(
        request=request,
        marks=marks,
        route=route,
        service=service,
        service_kind=table.service_kind(service),
        account=account,
        deadline_s=request.arrived_s + min(waits_s, route.timeout_s),
        request_id=marks.request_id or f"own-{rng.getrandbits(64):016x}",
    )


def work_item(
    admitted: Admitted,
    excluded: frozenset[TargetName],
    now_s: float,
) -> WorkItem:
    """Return a request as the decisions see it."""
    marks = admitted.marks
    account = admitted.account
    name = account.name if account is not None else ClientAccountName("")
    return WorkItem(
        request_id=admitted.request_id,
        client_account=name,
        priority=_priority(admitted),
        weight=1.0,
        model=model_of(admitted),
        deadline_s=admitted.deadline_s,
        prompt_tokens=marks.prompt_tokens or 0,
        output_tokens=marks.most_output_tokens,
        arrived_s=now_s,
        prefix_digests=part_digests(marks.parts),
        prefix_tokens=tuple(accumulate(part.tokens for part in marks.parts)),
        excluded=excluded,
        pause_objective_s=admitted.route.pause_objective_s,
    )


def model_of(admitted: Admitted) -> str:
    """Return the name under which the decisions know a request's service."""
    engine = admitted.service_kind is ServiceKind.ENGINE
    return admitted.service if engine else SERVICE_PREFIX + admitted.service


def part_digests(parts: tuple[PromptPart, ...]) -> tuple[bytes, ...]:
    """Return one digest for each part of a prompt, the shortest prefix first.

    Engines keep and drop whole parts. A part's id stands for its text and for all
    parts before it.
    """
    return tuple(part.part_id.encode() for part in parts)


def _priority(admitted: Admitted) -> Priority:
    """Return the rank; an account's own goes before its route's."""
    rank = admitted.route.priority
    if admitted.account is not None and admitted.account.priority is not None:
        rank = admitted.account.priority
    return Priority(min(max(rank, Priority.URGENT), Priority.BATCH))
