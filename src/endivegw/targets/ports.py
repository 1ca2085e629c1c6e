"""Targets as a sidecar sees them: model engines and plain services."""

from __future__ import annotations

from typing import AsyncIterator, Protocol

from attrs import field, frozen

from endivegw.results import Reason, Result
from endivegw.types import AttemptId, Priority, Usage

__all__ = [
    "CacheChange",
    "EngineEnded",
    "EngineEvent",
    "EngineFailed",
    "EngineLoad",
    "EngineOrder",
    "EnginePort",
    "EngineRequest",
    "EngineText",
    "OrderKind",
    "ServiceAnswerHead",
    "ServicePort",
    "ServiceRequest",
]


@frozen
class EngineRequest:
    """Hold one generation as it is handed to an engine.

    :param body: the caller's JSON of the completions protocol.
    :param max_completion_tokens: where the engine must stop, at the latest.
    :param deadline_s: seconds from now by which the answer must be whole.
    """

    attempt_id: AttemptId
    body: bytes
    chat: bool
    model: str
    adapter: str
    max_completion_tokens: int
    priority: Priority
    deadline_s: float


@frozen
class EngineText:
    """Hold a piece of the answer.

    :param data: one chunk as JSON of the completions protocol, without the
        framing of server-sent events.
    :param tokens: how many tokens this piece holds.
    """

    data: bytes
    tokens: int


@frozen
class EngineEnded:
    """Say that the answer is whole, and what it consumed."""

    usage: Usage
    finish_reason: str


@frozen
class EngineFailed:
    """Say that the answer will not become whole.

    :param started: False where the engine said for certain that it did not
        begin.
    :param usage: what was consumed as far as it is known.
    :param usage_final: False where the engine may still be consuming.
    """

    reason: Reason
    detail: str
    started: bool
    usage: Usage
    usage_final: bool


EngineEvent = EngineText | EngineEnded | EngineFailed


@frozen
class CacheChange:
    """Say that a prompt prefix entered or left an engine's cache.

    :param sequence: grows by one; a gap means that events were lost.
    """

    sequence: int
    prefix_digest: bytes
    evicted: bool


@frozen
class EngineLoad:
    """Hold an engine's own figures, which are a little old.

    :param models: what can be served now: ``model``, ``model@version`` and
        ``model+adapter``.
    :param age_s: how old the figures were when they were read.
    """

    running: int
    waiting: int
    slots: int
    tokens_per_s: float
    models: tuple[str, ...]
    age_s: float
    cache_changes: tuple[CacheChange, ...] = ()


class OrderKind:
    """The orders that an engine takes."""

    LOAD_MODEL = "load-model"
    UNLOAD_MODEL = "unload-model"
    LOAD_ADAPTER = "load-adapter"
    UNLOAD_ADAPTER = "unload-adapter"
    CHANGE_ROLE = "change-role"


@frozen
class EngineOrder:
    """Hold one order to an engine.

    :param fence: a number from the table that grows with each order.
    """

    kind: str
    name: str
    version: str
    fence: int


class EnginePort(Protocol):
    """A model engine."""

    def generate(self, request: EngineRequest) -> AsyncIterator[EngineEvent]:
        """Yield text, then one end or failure; closing it cancels."""

    def resume(self, request: EngineRequest, pieces: int) -> AsyncIterator[EngineEvent]:
        """Yield what follows the first ``pieces`` texts of a running answer."""

    async def cancel(self, attempt_id: AttemptId) -> Result[Usage]:
        """Stop an answer; done with what it consumed."""

    async def load(self) -> Result[EngineLoad]:
        """Return the engine's own figures."""

    async def order(self, order: EngineOrder) -> Result[None]:
        """Carry out an order; refused with ``STALE_FENCE`` by those that check."""

    async def state(self) -> Result[tuple[str, ...]]:
        """Read back what is loaded, in the form of :attr:`EngineLoad.models`."""


@frozen
class ServiceRequest:
    """Hold one call of a plain service; the body comes as chunks."""

    attempt_id: AttemptId
    method: str
    path: str
    fields: tuple[tuple[str, str], ...] = field(factory=tuple)


@frozen
class ServiceAnswerHead:
    """Hold the status and header fields of a plain service's answer."""

    status: int
    fields: tuple[tuple[str, str], ...]


class ServicePort(Protocol):
    """A plain service."""

    def call(
        self, request: ServiceRequest, body: AsyncIterator[bytes]
    ) -> AsyncIterator[ServiceAnswerHead | bytes | EngineFailed]:
        """Yield the head, then the body, or one failure in place of the rest."""
