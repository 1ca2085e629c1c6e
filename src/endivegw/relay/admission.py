"""Admit requests: determine the route, account, deadline and size of each."""

from __future__ import annotations

import random
from itertools import accumulate, count

from attrs import field, frozen

from endivegw.decisions import SERVICE_PREFIX, WorkItem
from endivegw.quarantine import Fingerprint, fingerprint_of, part_fingerprints
from endivegw.relay.messages import CallerRequest
from endivegw.relay.wire import CallerMetadata, PromptPart, WirePort
from endivegw.results import Reason, Refused
from endivegw.routing import (
    ClientAccount,
    Route,
    RouteKind,
    RoutingTable,
    ServiceKind,
)
from endivegw.types import ClientAccountName, Priority, TargetName

__all__ = ["AdmittedRequest", "admit", "model_of", "part_digests", "work_item"]

#: Deadline of a request that does not state one.
_DEFAULT_DEADLINE_S = 60.0

_work_numbers = count()


@frozen
class AdmittedRequest:
    """Hold a request that the configuration allows.

    :param deadline_s: time on the router's clock by which the answer must be complete.
    :param work_number: tells requests with the same id apart, which a caller should not
        send.
    """

    request: CallerRequest
    metadata: CallerMetadata
    route: Route
    service: str
    service_kind: ServiceKind
    account: ClientAccount | None
    deadline_s: float
    request_id: str
    work_number: int = field(factory=lambda: next(_work_numbers), eq=False)

    @property
    def account_name(self) -> ClientAccountName | None:
        """Return the name of the account; None if the request needs none."""
        return self.account.name if self.account is not None else None

    @property
    def fingerprint(self) -> Fingerprint:
        """Return the fingerprint of the content, which repeated requests share."""
        request = self.request
        return fingerprint_of(
            request.method,
            request.host,
            request.target,
            self.account_name,
            request.body,
        )

    @property
    def part_fingerprints(self) -> tuple[Fingerprint, ...]:
        """Return the fingerprints of the prompt's parts, except the request's own."""
        return part_fingerprints(self.service, part_digests(self.metadata.parts))

    @property
    def priority(self) -> Priority:
        """Return the priority; the account's takes precedence over the route's."""
        rank = self.route.priority
        if self.account is not None and self.account.priority is not None:
            rank = self.account.priority
        return Priority(min(max(rank, Priority.URGENT), Priority.BATCH))

    @property
    def tokens(self) -> int:
        """Return the maximum token consumption; 0 where tokens are not counted."""
        if self.metadata.prompt_tokens is None:
            return 0
        return self.metadata.prompt_tokens + self.metadata.max_output_tokens

    @property
    def metered(self) -> bool:
        """Return whether the request is charged to a prepaid budget."""
        account = self.account
        return (
            self.tokens > 0
            and account is not None
            and (account.prepaid_tokens is not None)
        )


#: Stands for the account of requests that need none.
NO_ACCOUNT = ClientAccountName("")


def admit(
    request: CallerRequest,
    table: RoutingTable | None,
    wire: WirePort,
    rng: random.Random,
    now_s: float,
) -> AdmittedRequest | Refused:
    """Admit a request, or return why it is refused."""
    metadata = wire.read_caller_fields(request.fields)
    if isinstance(metadata, Refused):
        return metadata
    if table is None:
        return Refused(Reason.NOT_READY, "no configuration has been loaded yet", 1.0)
    route = table.route(request.host, request.path)
    if route is None:
        return Refused(Reason.UNKNOWN_SERVICE, "no route matches this host and path")
    account = table.account(metadata.key) if metadata.key is not None else None
    if account is None and table.needs_key(route):
        return Refused(Reason.BAD_KEY, "no client account has this key")
    if not metadata.request_id:
        return Refused(
            Reason.BAD_REQUEST, "the request has no id to identify its answer by"
        )
    wait_s = _DEFAULT_DEADLINE_S if metadata.deadline_s is None else metadata.deadline_s
    service = table.service(route, _service_rng(route, metadata, rng))
    return AdmittedRequest(
        request=request,
        metadata=metadata,
        route=route,
        service=service,
        service_kind=table.service_kind(service),
        account=account,
        deadline_s=request.arrived_s + min(wait_s, route.timeout_s),
        request_id=metadata.request_id,
    )


def _service_rng(
    route: Route, metadata: CallerMetadata, rng: random.Random
) -> random.Random:
    """Return the generator that draws the service of a request.

    The attempt that began a stream is its seed, so that every router draws the service
    that began a stream for the tries that resume it.
    """
    first_attempt = metadata.resumes or metadata.request_id
    if (
        len(route.services) == 1
        or route.kind is not RouteKind.RESUMABLE_STREAM
        or first_attempt is None
    ):
        return rng
    return random.Random(first_attempt)


def work_item(
    admitted: AdmittedRequest,
    excluded: frozenset[TargetName],
    now_s: float,
    software_version: str | None = None,
) -> WorkItem:
    """Return a request in the form that the dispatcher takes.

    :param excluded: targets that must not receive the request (again).
    :param software_version: version that must run the request; None if any may.
    """
    metadata = admitted.metadata
    return WorkItem(
        request_id=f"{admitted.request_id}#{admitted.work_number}",
        client_account=admitted.account_name or NO_ACCOUNT,
        priority=admitted.priority,
        weight=1.0,
        model=model_of(admitted),
        deadline_s=admitted.deadline_s,
        prompt_tokens=metadata.prompt_tokens or 0,
        output_tokens=metadata.max_output_tokens,
        arrived_s=now_s,
        prefix_digests=part_digests(metadata.parts),
        prefix_tokens=tuple(accumulate(part.tokens for part in metadata.parts)),
        excluded=excluded,
        pause_objective_s=admitted.route.pause_objective_s,
        software_version=software_version,
        objective_s=admitted.route.objective_s,
        first_objective_s=admitted.request.arrived_s + admitted.route.objective_s,
    )


def model_of(admitted: AdmittedRequest) -> str:
    """Return the name of a request's service as the dispatcher uses it."""
    engine = admitted.service_kind is ServiceKind.ENGINE
    return admitted.service if engine else SERVICE_PREFIX + admitted.service


def part_digests(parts: tuple[PromptPart, ...]) -> tuple[bytes, ...]:
    """Return one digest for each prefix of a prompt, the shortest prefix first.

    Engines cache and evict complete parts. The id of a part identifies its text
    together with all preceding parts.
    """
    return tuple(part.part_id.encode() for part in parts)
