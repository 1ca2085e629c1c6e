"""Small in-memory model engine with slots, rates, a prefix cache and orders.

The engine counts started attempts and consumed tokens itself, independently of the
product, so that tests can compare the two.
"""

from __future__ import annotations

import heapq
import itertools
import time
from collections import deque

import anyio
from attrs import define, field, frozen

from endivegw_standins.engine_chunks import text_chunk, usage_chunk
from endivegw_standins.engine_text import Prompt, answer_pieces
from endivegw_standins.prefix_cache import PrefixCache

__all__ = [
    "AppliedOrder",
    "Consumed",
    "EngineOptions",
    "FakeEngine",
    "Generation",
    "StaleFence",
]


class StaleFence(Exception):
    """Raised for an order whose fence is below the highest fence received so far."""


@define
class EngineOptions:
    """Speed and faults of the engine, adjustable while it runs.

    :ivar decode_tokens_per_s: rate of a single stream; 0 for no delay.
    :ivar prefill_tokens_per_s: rate of prompt processing; 0 for no delay.
    :ivar fail_fast: refuse each generation immediately with status 503.
    :ivar freeze_reports: keep reporting the earliest recorded load.
    :ivar break_after_pieces: number of pieces after which each stream's connection
        breaks; the generation itself continues and can be resumed.
    :ivar crash_trigger: a prompt with this text crashes the engine when it starts to
        run. The engine restarts immediately without its generations.
    :ivar resume_grace_s: time for which a generation continues without a reader.
    :ivar order_s: duration of an order.
    """

    slots: int = 8
    decode_tokens_per_s: float = 400.0
    prefill_tokens_per_s: float = 20_000.0
    slow_factor: float = 1.0
    fail_fast: bool = False
    freeze_reports: bool = False
    report_lag_s: float = 0.2
    break_after_pieces: int | None = None
    crash_trigger: str | None = None
    resume_grace_s: float = 1.0
    checks_fence: bool = True
    order_s: float = 0.0
    cache_blocks: int = 256
    cache_event_delay_s: float = 0.3
    cache_event_loss: float = 0.1


@define
class Consumed:
    """Work that one attempt caused on the engine.

    :ivar started_s: time of the first start, on the monotonic clock.
    """

    started_s: float = 0.0
    starts: int = 0
    prompt_tokens: int = 0
    completion_tokens: int = 0
    text: str = ""
    completed: bool = False
    cancelled: bool = False


@frozen
class AppliedOrder:
    """One order that took effect."""

    fence: int
    kind: str
    name: str
    version: str
    at_s: float


@define(eq=False)
class Generation:
    """One running or finished generation.

    :ivar chunks: data of each server-sent event so far.
    """

    attempt_id: str
    prompt: Prompt
    chunks: list[str] = field(factory=list)
    complete: bool = False
    cancelled: bool = False
    readers: int = 0
    scope: anyio.CancelScope = field(factory=anyio.CancelScope)
    changed: anyio.Event = field(factory=anyio.Event)

    def wake(self) -> None:
        """Notify tasks that wait for a change."""
        self.changed.set()
        self.changed = anyio.Event()


@define
class FakeEngine:
    """Run generations in slots, like a batching engine.

    :ivar consumed: work by attempt id; tests use it as their oracle.
    :ivar orders: orders that took effect, in order.
    """

    models: set[str] = field(factory=lambda: {"badge-1"})
    role: str = "both"
    options: EngineOptions = field(factory=EngineOptions)
    #: Number of crashes that prompts have caused.
    crash_count: int = 0
    seed: int = 1
    consumed: dict[str, Consumed] = field(factory=dict)
    orders: list[AppliedOrder] = field(factory=list)
    running: int = 0
    generations: dict[str, Generation] = field(factory=dict)
    _highest_fence: int = 0
    _waiting: list[tuple[int, int, anyio.Event]] = field(factory=list)
    _arrival_counter: itertools.count[int] = field(factory=itertools.count)
    _cache: PrefixCache = field(init=False)
    _load_history: deque[tuple[float, int, int]] = field(
        factory=lambda: deque(maxlen=500)
    )

    def __attrs_post_init__(self) -> None:
        options = self.options
        self._cache = PrefixCache(
            options.cache_blocks,
            options.cache_event_delay_s,
            options.cache_event_loss,
            self.seed,
        )

    def total_tokens(self) -> int:
        """Return the number of tokens consumed by all attempts."""
        counts = self.consumed.values()
        return sum(count.prompt_tokens + count.completion_tokens for count in counts)

    def crash(self) -> None:
        """Simulate a crash and restart, which loses all generations."""
        self.crash_count += 1
        for generation in self.generations.values():
            generation.cancelled = True
            generation.wake()
        self.generations.clear()

    def open(self, attempt_id: str, prompt: Prompt) -> Generation:
        """Register a generation before it runs."""
        generation = Generation(attempt_id, prompt)
        self.generations[attempt_id] = generation
        count = self.consumed.setdefault(attempt_id, Consumed(time.monotonic()))
        count.starts += 1
        return generation

    async def run(self, generation: Generation) -> None:
        """Wait for a slot, read the prompt and write the answer."""
        count = self.consumed[generation.attempt_id]
        with generation.scope:
            await self._acquire_slot(generation.prompt.priority)
            try:
                await self._prefill(generation.prompt, count)
                await self._decode(generation, count)
                generation.complete = True
                count.completed = True
            finally:
                self._release_slot()
        generation.cancelled = not generation.complete
        count.cancelled = generation.cancelled
        generation.wake()

    def cancel(self, attempt_id: str) -> Consumed | None:
        """Cancel a generation; return its consumption, or None if it is unknown."""
        generation = self.generations.get(attempt_id)
        if generation is None:
            return None
        generation.scope.cancel()
        return self.consumed[attempt_id]

    async def cancel_unread(self, generation: Generation) -> None:
        """Cancel a generation that has no reader after the grace period."""
        await anyio.sleep(self.options.resume_grace_s)
        if generation.readers == 0 and not generation.complete:
            generation.scope.cancel()

    async def apply(self, kind: str, name: str, version: str, fence: int) -> None:
        """Execute an order.

        :raises StaleFence: if fences are checked and a higher one was received before.
        """
        self._check_fence(fence)
        await anyio.sleep(self.options.order_s)
        self._check_fence(fence)
        self._highest_fence = max(self._highest_fence, fence)
        names = {name, f"{name}@{version}"} if version else {name}
        if kind.startswith("load-"):
            self.models |= names
        elif kind.startswith("unload-"):
            self._unload_model(name, version)
        else:
            self.role = name
        now_s = anyio.current_time()
        self.orders.append(AppliedOrder(fence, kind, name, version, now_s))

    def state(self) -> list[str]:
        """Return the loaded models and the current role."""
        return [*sorted(self.models), f"role:{self.role}"]

    def load_report(self, after: int) -> dict[str, object]:
        """Return the load, delayed by the report lag, and newer cache events.

        :param after: sequence number after which cache events are returned.
        """
        now_s = anyio.current_time()
        at_s, running, waiting = self._lagged_load(now_s)
        return {
            "running": running,
            "waiting": waiting,
            "slots": self.options.slots,
            "tokens_per_s": running * self._tokens_per_s(),
            "models": sorted(self.models),
            "age_s": now_s - at_s,
            "cache_changes": self._cache.due_events(after, now_s),
        }

    def _check_fence(self, fence: int) -> None:
        if self.options.checks_fence and fence < self._highest_fence:
            raise StaleFence(f"fence {fence} is below {self._highest_fence}")

    def _unload_model(self, name: str, version: str) -> None:
        if version:
            self.models.discard(f"{name}@{version}")
        if not any(model.startswith(f"{name}@") for model in self.models):
            self.models.discard(name)

    async def _acquire_slot(self, priority: int) -> None:
        if self.running >= self.options.slots:
            slot_granted = anyio.Event()
            entry = (priority, next(self._arrival_counter), slot_granted)
            heapq.heappush(self._waiting, entry)
            self._record_load()
            try:
                await slot_granted.wait()
            except BaseException:
                if entry in self._waiting:
                    self._waiting.remove(entry)
                    heapq.heapify(self._waiting)
                else:
                    self._release_slot()
                raise
        else:
            self.running += 1
        self._record_load()

    def _release_slot(self) -> None:
        if self._waiting:
            heapq.heappop(self._waiting)[2].set()
        else:
            self.running -= 1
        self._record_load()

    async def _prefill(self, prompt: Prompt, count: Consumed) -> None:
        digests = prompt.prefix_digests()
        cached = sum(1 for digest in digests if digest in self._cache)
        uncached_tokens = prompt.tokens - prompt.tokens * cached // max(1, len(digests))
        count.prompt_tokens += prompt.tokens
        if self.options.prefill_tokens_per_s:
            wait_s = (
                uncached_tokens
                / self.options.prefill_tokens_per_s
                * self.options.slow_factor
            )
            await anyio.sleep(wait_s)
        for digest in digests:
            self._cache.add(digest, anyio.current_time())

    async def _decode(self, generation: Generation, count: Consumed) -> None:
        prompt = generation.prompt
        pieces = answer_pieces(prompt.text)
        for piece in pieces[: prompt.max_tokens]:
            if self.options.decode_tokens_per_s:
                await anyio.sleep(1 / self._tokens_per_s())
            else:
                await anyio.lowlevel.checkpoint()
            count.completion_tokens += 1
            count.text += piece
            generation.chunks.append(text_chunk(generation, piece, None))
            generation.wake()
        reason = "length" if len(pieces) > prompt.max_tokens else "stop"
        generation.chunks.append(text_chunk(generation, "", reason))
        generation.chunks.append(usage_chunk(generation))

    def _tokens_per_s(self) -> float:
        """Return the rate of one stream; a full batch runs at two thirds."""
        batch_slowdown = 1 + 0.5 * self.running / self.options.slots
        return (
            self.options.decode_tokens_per_s / batch_slowdown / self.options.slow_factor
        )

    def _record_load(self) -> None:
        self._load_history.append(
            (anyio.current_time(), self.running, len(self._waiting))
        )

    def _lagged_load(self, now_s: float) -> tuple[float, int, int]:
        if self.options.freeze_reports:
            return self._load_history[0] if self._load_history else (now_s, 0, 0)
        cutoff_s = now_s - self.options.report_lag_s
        visible = [figure for figure in self._load_history if figure[0] <= cutoff_s]
        running, waiting = (visible[-1][1], visible[-1][2]) if visible else (0, 0)
        return cutoff_s, running, waiting
