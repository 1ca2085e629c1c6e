"""Interfaces that the sidecar daemon depends on, and its settings."""

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
    "ClaimService",
    "Clock",
    "GrantGate",
    "HolderDirectory",
    "KnownConfiguration",
    "SidecarSettings",
]

#: Returns seconds of a monotonic clock.
Clock = Callable[[], float]


class KnownConfiguration(Protocol):
    """The newest configuration that the process has or knows to exist."""

    @property
    def revision(self) -> ConfigRevision:
        """Return the revision of the complete local configuration; 0 for none."""

    def receive_header(self, header: pb.Header) -> None:
        """Record a message's sender, and the revision to fetch if it is newer."""

    def newer_than(self, revision: ConfigRevision) -> bytes:
        """Return the encoded snapshot if it is newer than a revision, else b""."""


class GrantGate(Protocol):
    """The part of the grant ledger that the sidecar uses."""

    def admit(
        self,
        grant_id: GrantId,
        budget: BudgetKey,
        attempt_id: AttemptId,
        reservation_tokens: int,
        now_s: float,
    ) -> Refused | None:
        """Admit an attempt under a grant; return None if it may start."""

    def consume(self, attempt_id: AttemptId, tokens: int, now_s: float) -> Any:
        """Count tokens of a running attempt."""

    def end(self, attempt_id: AttemptId, usage: Usage, now_s: float) -> Any:
        """Record the total usage of an attempt, which consumes no more."""

    def seal(self, grant_ids: tuple[GrantId, ...], now_s: float) -> Any:
        """Refuse later work under the grants; return what each consumed."""


class HolderDirectory(Protocol):
    """Knows the routers that hold the grants in incoming orders."""

    async def ready_for(
        self, grant_id: GrantId, budget: BudgetKey, reservation_tokens: int
    ) -> Refused | None:
        """Read the grant's holder from the table unless it is known already.

        A sidecar that just started has no record of seals. It reads the holder
        before the gate decides, since the gate itself must not wait: no other
        event may occur between its decision and the recorded start.

        :returns: why nothing can be admitted now, None if the gate decides.
        """

    async def prefetch_holder(self, holder: str) -> None:
        """Read a holder from the table before its first order arrives."""


class ClaimService(Protocol):
    """Answers claims for the key slots that this sidecar owns."""

    async def claim(self, request: pb.ClaimRequest) -> pb.ClaimReply:
        """Return the slot owner's answer to a claim on one request identity."""

    def owned_slots(self) -> tuple[int, ...]:
        """Return the numbers of the slots that this process owns."""


@frozen
class SidecarSettings:
    """Hold the settings of one sidecar.

    :param target: name of the target beside this sidecar.
    :param instance_id: id of this sidecar process.
    :param availability_zone: availability_zone of this machine.
    :param vm: the platform's id of this machine.
    :param address: address for calls from peers, as ``host:port``.
    :param serves: names of the plain services behind the sidecar; engines report
        their models themselves.
    :param slots: maximum concurrent calls of a plain service.
    :param max_answer_bytes: maximum bytes of one answer in memory.
    :param max_retained_bytes: maximum bytes of all completed answers in memory,
        which are retained for callers that retry. Together with the rest of the
        process this stays below 64 MB.
    :param max_retained_answers: maximum number of completed answers that are
        retained, whatever their size; each takes about 3 KB beside its bytes.
    :param answer_retention_s: time in seconds for which a completed answer is
        retained unless memory runs out; callers retry within seconds, a few of
        them after minutes.
    :param load_interval_s: interval in seconds between polls of the engine's
        load.
    :param max_resumes: maximum number of times that a broken stream to the
        engine is resumed.
    :param resume_pause_s: pause in seconds before each resumption.
    :param cancel_timeout_s: timeout in seconds for the engine to confirm a
        cancel.
    :param drain_bound_s: maximum time in seconds for running work to end in a
        planned stop; long, because a truncated answer costs more than a machine
        that is released late.
    :param starts: limits of the registry of starts.
    """

    target: TargetName
    instance_id: InstanceId
    availability_zone: AvailabilityZone
    vm: str = ""
    address: str = ""
    serves: tuple[str, ...] = ()
    slots: int = 64
    max_answer_bytes: int = 2 * 2**20
    max_retained_bytes: int = 16 * 2**20
    max_retained_answers: int = 4000
    answer_retention_s: float = 600.0
    load_interval_s: float = 0.5
    max_resumes: int = 3
    resume_pause_s: float = 0.2
    cancel_timeout_s: float = 2.0
    drain_bound_s: float = 900.0
    starts: StartLimits = field(factory=StartLimits)
