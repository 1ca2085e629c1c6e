"""Interfaces between a sidecar and its target: a model engine or a plain service."""

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
    """Hold one generation request to an engine.

    :param body: the caller's JSON body of the completions protocol.
    :param chat: whether the body is for the chat endpoint.
    :param adapter: adapter of the model; empty for the model itself.
    :param max_completion_tokens: limit at which the engine must stop generating.
    :param deadline_s: seconds from now within which the answer must be complete.
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
    """Hold one chunk of the answer.

    :param data: the chunk as JSON of the completions protocol, without the framing of
        server-sent events.
    :param tokens: number of tokens in this chunk.
    """

    data: bytes
    tokens: int


@frozen
class EngineEnded:
    """Report that the answer is complete, and its token usage."""

    usage: Usage
    finish_reason: str


@frozen
class EngineFailed:
    """Report that the answer will not be completed.

    :param started: False only if it is certain that the target did not start the
        request.
    :param usage: the known part of the consumption.
    :param usage_final: False if the engine may still be consuming tokens.
    """

    reason: Reason
    detail: str
    started: bool
    usage: Usage
    usage_final: bool


EngineEvent = EngineText | EngineEnded | EngineFailed


@frozen
class CacheChange:
    """Report that a prompt prefix entered or left an engine's cache.

    :param sequence: increases by one; a gap means that events were lost.
    :param evicted: whether the prefix left the cache.
    """

    sequence: int
    prefix_digest: bytes
    evicted: bool


@frozen
class EngineLoad:
    """Hold an engine's load report, which lags behind its current state.

    :param running: number of requests in progress.
    :param waiting: number of queued requests.
    :param slots: maximum number of requests in progress.
    :param models: what can be served now: ``model``, ``model@version`` and
        ``model+adapter``.
    :param age_s: age of the report in seconds when it was read.
    """

    running: int
    waiting: int
    slots: int
    tokens_per_s: float
    models: tuple[str, ...]
    age_s: float
    cache_changes: tuple[CacheChange, ...] = ()


class OrderKind:
    """Kinds of orders to an engine."""

    LOAD_MODEL = "load-model"
    UNLOAD_MODEL = "unload-model"
    LOAD_ADAPTER = "load-adapter"
    UNLOAD_ADAPTER = "unload-adapter"
    CHANGE_ROLE = "change-role"


@frozen
class EngineOrder:
    """Hold one order to an engine.

    :param fence: fencing number from the table, which increases with each order.
    """

    kind: str
    name: str
    version: str
    fence: int


class EnginePort(Protocol):
    """Interface of a model engine."""

    def generate(self, request: EngineRequest) -> AsyncIterator[EngineEvent]:
        """Yield text, then one end or failure; closing the iterator cancels."""

    def resume(self, request: EngineRequest, pieces: int) -> AsyncIterator[EngineEvent]:
        """Yield the events after the first ``pieces`` chunks of a running answer."""

    async def cancel(self, attempt_id: AttemptId) -> Result[Usage]:
        """Cancel an answer and return its token usage."""

    async def load(self) -> Result[EngineLoad]:
        """Return the engine's load report."""

    async def order(self, order: EngineOrder) -> Result[None]:
        """Execute an order.

        An engine that checks fencing numbers refuses an outdated one with
        ``STALE_FENCE``.
        """

    async def state(self) -> Result[tuple[str, ...]]:
        """Return the loaded models, in the form of :attr:`EngineLoad.models`."""


@frozen
class ServiceRequest:
    """Hold one call to a plain service; its body is passed separately in chunks."""

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
    """Interface of a plain service."""

    def call(
        self, request: ServiceRequest, body: AsyncIterator[bytes]
    ) -> AsyncIterator[ServiceAnswerHead | bytes | EngineFailed]:
        """Yield the head and the body; a failure replaces the missing part."""
