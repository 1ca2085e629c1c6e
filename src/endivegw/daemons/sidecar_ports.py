"""What the sidecar daemon needs from the parts around it."""

from __future__ import annotations

from typing import Any, Callable, Protocol

from attrs import field, frozen

from endivegw.peers._generated import endivegw_peers_pb2 as pb
from endivegw.requests.starts import StartLimits
from endivegw.results import Refused
from endivegw.types import (
    AttemptId,
    AvailabilityZone,
    BudgetKey,
    ConfigRevision,
    GrantId,
    InstanceId,
    TargetName,
    Usage,
)

__all__ = [
    "ClaimDesk",
    "Clock",
    "GrantGate",
    "HolderDirectory",
    "KnownConfiguration",
    "SidecarSettings",
]

#: Returns seconds of a clock that never goes back.
Clock = Callable[[], float]


class KnownConfiguration(Protocol):
    """The newest configuration that the process has or has heard of."""

    @property
    def revision(self) -> ConfigRevision:
        """Return the revision that is held whole; 0 for none."""

    def heard_header(self, header: pb.Header) -> None:
        """Learn who sent a message, and which revision to fetch if newer."""

    def newer_than(self, revision: ConfigRevision) -> bytes:
        """Return the encoded snapshot where it is newer, else b""."""


class GrantGate(Protocol):
    """What the sidecar uses of the ledger of grants."""

    def admit(
        self,
        grant_id: GrantId,
        budget: BudgetKey,
        attempt_id: AttemptId,
        reservation_tokens: int,
        now_s: float,
    ) -> Refused | None:
        """Admit an attempt under a grant; None where it may start."""

    def consume(self, attempt_id: AttemptId, tokens: int, now_s: float) -> Any:
        """Count tokens of a running attempt."""

    def end(self, attempt_id: AttemptId, usage: Usage, now_s: float) -> Any:
        """Count what an attempt consumed in all; it consumes no more."""

    def seal(self, grant_ids: tuple[GrantId, ...], now_s: float) -> Any:
        """Refuse later work under the grants; return what each consumed."""


class HolderDirectory(Protocol):
    """What knows the routers whose grants come in."""

    async def ready_for(
        self, grant_id: GrantId, budget: BudgetKey, reservation_tokens: int
    ) -> Refused | None:
        """Ask the table about the grant's holder where it was not asked yet.

        A sidecar that was just started has forgotten every seal. It asks before
        the gate decides, since the gate itself must not wait: between its word
        and the recorded start nothing else may come in.

        :returns: why nothing can be admitted now, None where the gate decides.
        """

    async def prefetch_holder(self, holder: str) -> None:
        """Ask about a holder before its first work comes."""


class ClaimDesk(Protocol):
    """What answers claims where this sidecar owns key slots."""

    async def claim(self, request: pb.ClaimRequest) -> pb.ClaimReply:
        """Return the slot owner's word on one request identity."""

    def owned_slots(self) -> tuple[int, ...]:
        """Return the slots that this process owns."""


@frozen
class SidecarSettings:
    """Hold the settings of one sidecar.

    :param vm: the platform's id of this machine.
    :param address: where this sidecar takes its peers' calls, as ``host:port``.
    :param serves: names of the plain services behind it; engines tell their
        models themselves.
    :param slots: calls that a plain service takes at once.
    :param answer_bytes: what one answer may hold in memory.
    :param kept_bytes: what the ended answers may hold together, for callers
        that retry. With the rest of the process this stays below 64 MB.
    :param kept_answers: how many ended answers are kept at most, whatever their
        size; each takes some 3 KB beside its bytes.
    :param kept_s: how long an ended answer is kept at least unless memory runs
        out; callers retry within seconds, a few of them after minutes.
    :param load_interval_s: how often the engine's own figures are read.
    :param resume_tries: how often a broken stream to the engine is resumed.
    :param resume_pause_s: wait before each of these tries.
    :param cancel_timeout_s: how long the engine may take to confirm a cancel.
    :param drain_bound_s: how long running work may take to end in a planned
        stop; long, because a cut answer costs more than a late machine.
    """

    target: TargetName
    instance_id: InstanceId
    availability_zone: AvailabilityZone
    vm: str = ""
    address: str = ""
    serves: tuple[str, ...] = ()
    slots: int = 64
    answer_bytes: int = 2 * 2**20
    kept_bytes: int = 16 * 2**20
    kept_answers: int = 4000
    kept_s: float = 600.0
    load_interval_s: float = 0.5
    resume_tries: int = 3
    resume_pause_s: float = 0.2
    cancel_timeout_s: float = 2.0
    drain_bound_s: float = 900.0
    starts: StartLimits = field(factory=StartLimits)
