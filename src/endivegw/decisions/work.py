"""Inputs and results of the load management decisions."""

from __future__ import annotations

import enum

from attrs import field, frozen

from endivegw.decisions.send_permits import SendLimit
from endivegw.decisions.warm_up import WarmUp
from endivegw.results import Reason, Refused
from endivegw.targets.ports import CacheChange
from endivegw.types import (
    AvailabilityZone,
    ClientAccountName,
    InstanceId,
    Priority,
    TargetName,
)

__all__ = [
    "AttemptEnd",
    "AttemptKind",
    "Expired",
    "LoadFigures",
    "LocalLoad",
    "Placement",
    "PlacementFigures",
    "Queued",
    "SERVICE_PREFIX",
    "TargetView",
    "WorkItem",
]

#: Prefix of ``model`` for requests to a plain service, as in ``service:lobby``.
SERVICE_PREFIX = "service:"


@frozen
class WorkItem:
    """Hold the properties of a request that decisions depend on.

    :param weight: weight of the client account's fair share.
    :param model: ``model``, ``model@version`` or ``model+adapter``; with
        :data:`SERVICE_PREFIX` for a plain service.
    :param deadline_s: time by which the complete answer must be there, on the clock of
        ``now_s``.
    :param prompt_tokens: estimated or counted; 0 for plain services.
    :param output_tokens: maximum number of tokens to generate.
    :param prefix_digests: digests of the prompt's leading blocks, the shortest prefix
        first.
    :param prefix_tokens: tokens that each digest covers; empty if each covers
        ``Policy.block_tokens`` more than the one before it.
    :param excluded: targets on which this request must not be placed.
    :param pause_objective_s: longest pause within the answer that meets the objective;
        None if there is no objective.
    :param software_version: version of the software that must run the request, because
        it began the stream; None if any may.
    :param objective_s: longest time from the request's arrival to the first token, or
        to the answer of a plain service, that meets the objective; None if there is no
        objective.
    :param first_objective_s: time by which the first token or the answer meets it.
    """

    request_id: str
    client_account: ClientAccountName
    priority: Priority
    weight: float
    model: str
    deadline_s: float
    prompt_tokens: int
    output_tokens: int
    arrived_s: float
    prefix_digests: tuple[bytes, ...] = ()
    excluded: frozenset[TargetName] = field(factory=frozenset)
    pause_objective_s: float | None = None
    prefix_tokens: tuple[int, ...] = ()
    software_version: str | None = None
    objective_s: float | None = None
    first_objective_s: float | None = None

    def allows(self, view: TargetView) -> bool:
        """Return whether a target's software may run the request."""
        return self.software_version in (None, view.software_version)


@frozen
class TargetView:
    """Hold the membership entry of one target.

    :param address: opaque to the decisions and returned with the placement.
    :param models: names that the target serves, in the form of :attr:`WorkItem.model`.
    :param slots: number of requests that the target runs at once.
    :param started_ms: distinguishes two incarnations with one ``instance_id``; None if
        ``instance_id`` alone does.
    :param copy_s_per_token: time to copy a cached token from another target; None if
        targets do not copy from each other.
    :param evacuated: whether the operator evacuated the target's availability zone. The
        target gets no new requests, but others may copy from its cache.
    :param warm_up: the target's warm-up; None if it is warm.
    :param limit: the target's limit on requests from all routers; None if it has none.
    :param software_version: version of the software that the target runs.
    """

    target: TargetName
    instance_id: InstanceId
    address: str
    availability_zone: AvailabilityZone
    models: frozenset[str]
    slots: int
    draining: bool = False
    started_ms: int | None = None
    copy_s_per_token: float | None = None
    evacuated: bool = False
    warm_up: WarmUp | None = None
    limit: SendLimit | None = None
    software_version: str = ""

    @property
    def accepts_work(self) -> bool:
        """Return whether the target may get new requests at all."""
        return not self.draining and not self.evacuated

    def is_incarnation_of(self, other: TargetView) -> bool:
        """Return whether both are the same incarnation of the same target."""
        same_start = self.started_ms == other.started_ms
        same_software = self.software_version == other.software_version
        return self.instance_id == other.instance_id and same_start and same_software


@frozen
class LoadFigures:
    """Hold one load report of a target, which is already old when it arrives.

    :param running: requests in slots, from all routers.
    :param waiting: requests in the target's own queue, from all routers.
    :param age_s: age of the figures when the report is applied.
    :param models: models that are loaded; empty if the report does not name them.
    :param sequence: number of the target's last cache event; a gap means lost events.
    :param unread_tokens: prompt tokens from other routers that are still being read, as
        far as those routers report them.
    """

    running: int
    waiting: int
    slots: int
    tokens_per_s: float
    age_s: float
    models: tuple[str, ...] = ()
    sequence: int = 0
    cache_changes: tuple[CacheChange, ...] = ()
    draining: bool = False
    unread_tokens: int = 0


@frozen
class LocalLoad:
    """Hold the load that one router causes on one target.

    :param running: the router's requests there.
    :param unread_tokens: prompt tokens of its requests whose answer has not started.
    """

    running: int
    unread_tokens: int


@frozen
class PlacementFigures:
    """Hold the figures behind a placement, for its log line.

    :param load: expected requests per slot of the target, before this placement.
    :param local_outstanding: this router's own requests on the target.
    :param cached_tokens: prompt tokens expected in the target's cache.
    :param copied_tokens: prompt tokens that the target copies from another target.
    :param queued_s: time for which the request waited in this router.
    :param finish_s: expected time from now until the request finishes.
    :param slack_s: time left from then until the deadline.
    :param candidates: number of targets compared.
    """

    load: float
    local_outstanding: int
    cached_tokens: int
    queued_s: float
    finish_s: float
    slack_s: float
    candidates: int
    copied_tokens: int = 0


@frozen
class Placement:
    """Hold the target on which a request is placed.

    :param why: ``least-loaded``, ``prefix-cache``, ``prefix-copy``, ``probe`` or
        ``limit-probe``.
    :param started_ms: start of the target's incarnation, as in its :class:`TargetView`.
    :param copy_from: address of a target that has more of the prompt cached; None if
        nothing is copied.
    :param software_version: version of the software that the target runs.
    """

    item: WorkItem
    target: TargetName
    instance_id: InstanceId
    address: str
    why: str
    figures: PlacementFigures
    started_ms: int | None = None
    copy_from: str | None = None
    software_version: str = ""


@frozen
class Queued:
    """Report that a request waits in this router.

    :param wait_s: expected wait.
    :param position: number of requests ahead of it in the queue.
    """

    wait_s: float
    position: int


@frozen
class Expired:
    """Report that a queued request was abandoned.

    Its caller gets the answer at once.

    :param reason_detail: an explanation in words.
    :param retry_after_s: time after which a retry may succeed; None if none would.
    """

    item: WorkItem
    reason_detail: str
    retry_after_s: float | None
    reason: Reason = Reason.OVERLOADED

    @classmethod
    def from_refusal(cls, item: WorkItem, refused: Refused) -> Expired:
        """Return the end of a queued request that is refused."""
        return cls(item, refused.detail, refused.retry_after_s, refused.reason)


class AttemptKind(enum.Enum):
    """Outcome of an attempt at a target."""

    OK = "ok"
    #: The target reported that it executed nothing.
    REFUSED = "refused"
    FAILED = "failed"
    CANCELLED = "cancelled"


@frozen
class AttemptEnd:
    """Hold the end of an attempt and its consumption.

    :param longest_pause_s: longest pause between two pieces of the answer; None if
        unknown.
    :param usual_pause_s: lower quartile of the pauses, which is hardly affected by the
        target's other requests; None if there were too few pauses.
    """

    kind: AttemptKind
    prompt_tokens: int = 0
    output_tokens: int = 0
    longest_pause_s: float | None = None
    usual_pause_s: float | None = None
