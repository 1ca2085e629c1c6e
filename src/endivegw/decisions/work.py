"""Messages of the decision code: what comes in, and what was decided."""

from __future__ import annotations

import enum

from attrs import field, frozen

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
    "OwnLoad",
    "Placement",
    "PlacementFigures",
    "Queued",
    "SERVICE_PREFIX",
    "TargetView",
    "WorkItem",
]

#: Marks the ``model`` of work for a plain service, as in ``service:lobby``.
SERVICE_PREFIX = "service:"


@frozen
class WorkItem:
    """Hold what decisions need to know of one request.

    :param weight: fair share of the client account beside the others.
    :param model: ``model``, ``model@version`` or ``model+adapter``; with
        :data:`SERVICE_PREFIX` for a plain service.
    :param deadline_s: when the whole answer must be there, on the clock of
        ``now_s``.
    :param prompt_tokens: estimated or counted; 0 for plain services.
    :param output_tokens: the most that will be generated.
    :param prefix_digests: digests of the prompt's beginnings, the shortest first.
    :param prefix_tokens: how many tokens each of them covers; empty where each covers
        ``Policy.block_tokens`` more than the one before it.
    :param excluded: targets that this request must not go to again.
    :param pause_objective_s: the longest pause within its answer that is still on
        time; None where there is no such bound.
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


@frozen
class TargetView:
    """Hold what membership says of one target.

    :param address: opaque here; handed back with the placement.
    :param models: names that the target serves, in the form of
        :attr:`WorkItem.model`.
    :param slots: how many pieces of work it runs at once.
    :param started_ms: tells two starts under one ``instance_id`` apart; None where
        ``instance_id`` alone does.
    :param copy_s_per_token: how long it takes to copy a cached token from another
        target; None where targets do not copy from each other.
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

    def is_incarnation_of(self, other: TargetView) -> bool:
        """Return whether both are the same start of the same target."""
        same_start = self.started_ms == other.started_ms
        return self.instance_id == other.instance_id and same_start


@frozen
class LoadFigures:
    """Hold one load report of a target, which is old when it arrives.

    :param running: work in slots, from all routers.
    :param waiting: work in the target's own queue, from all routers.
    :param age_s: how old the figures are at the time of the report.
    :param models: what is loaded now; empty where the report does not say.
    :param sequence: the target's last cache event; a gap means lost events.
    :param unread_tokens: prompt tokens that other routers sent there and that
        are still being read, where they say so.
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
class OwnLoad:
    """Hold what one router has at one target.

    :param running: its requests there.
    :param unread_tokens: prompt tokens of those whose answer has not begun.
    """

    running: int
    unread_tokens: int


@frozen
class PlacementFigures:
    """Hold the figures a placement was decided on, for its log line.

    :param load: expected work per slot of the target, before this placement.
    :param own_outstanding: this router's own work on the target.
    :param cached_tokens: prompt tokens expected in the target's cache.
    :param copied_tokens: prompt tokens that it copies from another target.
    :param queued_s: how long the work waited in this router.
    :param finish_s: how long it is expected to take from now.
    :param slack_s: what is then left until its deadline.
    :param candidates: how many targets were compared.
    """

    load: float
    own_outstanding: int
    cached_tokens: int
    queued_s: float
    finish_s: float
    slack_s: float
    candidates: int
    copied_tokens: int = 0


@frozen
class Placement:
    """Say where a piece of work goes now.

    :param why: ``least-loaded``, ``prefix-cache``, ``probe`` or
        ``only-target``.
    :param started_ms: the start of the target that is meant, as its
        :class:`TargetView` says.
    :param copy_from: address of a target that has more of the prompt cached; None
        where the target needs nothing from others.
    """

    item: WorkItem
    target: TargetName
    instance_id: InstanceId
    address: str
    why: str
    figures: PlacementFigures
    started_ms: int | None = None
    copy_from: str | None = None


@frozen
class Queued:
    """Say that the work waits in this router.

    :param wait_s: how long it is expected to wait.
    :param position: how many pieces of work stand before it.
    """

    wait_s: float
    position: int


@frozen
class Expired:
    """Say that queued work was given up, so that it gets its answer at once.

    :param reason_detail: a sentence for people.
    :param retry_after_s: when a new try may succeed, None where none would.
    """

    item: WorkItem
    reason_detail: str
    retry_after_s: float | None


class AttemptKind(enum.Enum):
    """How an attempt at a target ended."""

    OK = "ok"
    #: The target said for certain that nothing ran.
    REFUSED = "refused"
    FAILED = "failed"
    CANCELLED = "cancelled"


@frozen
class AttemptEnd:
    """Hold the end of an attempt, with what it consumed.

    :param longest_pause_s: between two pieces of its answer; None where unknown.
    :param usual_pause_s: the lower quartile of its pauses, which what else the
        target does hardly moves; None where it had too few.
    """

    kind: AttemptKind
    prompt_tokens: int = 0
    output_tokens: int = 0
    longest_pause_s: float | None = None
    usual_pause_s: float | None = None
