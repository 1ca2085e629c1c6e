"""A small model engine in memory: slots, rates, prefix cache, orders.

It keeps its own count of what it started and consumed, apart from the
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
    "EngineKnobs",
    "FakeEngine",
    "Generation",
    "StaleFence",
]


class StaleFence(Exception):
    """Refuse an order whose number is below one that was seen."""


@define
class EngineKnobs:
    """Set how fast the engine is and what goes wrong with it.

    :ivar decode_tokens_per_s: for each stream alone; 0 for no wait at all.
    :ivar prefill_tokens_per_s: 0 for no wait at all.
    :ivar fail_fast: refuse each generation at once with status 503.
    :ivar freeze_reports: report the load of the moment it was set, for good.
    :ivar break_after_pieces: cut the connection of each stream there; the
        generation itself runs on and can be resumed.
    :ivar ended_by: a prompt with this text ends the engine's process as it begins to
        run; the engine is back at once and remembers nothing of its generations.
    :ivar resume_grace_s: how long a generation runs without a reader.
    :ivar order_s: how long an order takes.
    """

    slots: int = 8
    decode_tokens_per_s: float = 400.0
    prefill_tokens_per_s: float = 20_000.0
    slow_factor: float = 1.0
    fail_fast: bool = False
    freeze_reports: bool = False
    report_lag_s: float = 0.2
    break_after_pieces: int | None = None
    ended_by: str | None = None
    resume_grace_s: float = 1.0
    checks_fence: bool = True
    order_s: float = 0.0
    cache_blocks: int = 256
    cache_event_delay_s: float = 0.3
    cache_event_loss: float = 0.1


@define
class Consumed:
    """Count what one attempt caused, as the engine saw it.

    :ivar began_s: when it first started, on the monotonic clock.
    """

    began_s: float = 0.0
    starts: int = 0
    prompt_tokens: int = 0
    completion_tokens: int = 0
    text: str = ""
    ended: bool = False
    cancelled: bool = False


@frozen
class AppliedOrder:
    """Hold one order as it took effect."""

    fence: int
    kind: str
    name: str
    version: str
    at_s: float


@define(eq=False)
class Generation:
    """Hold one running or finished answer.

    :ivar chunks: the data of each server-sent event so far.
    """

    attempt_id: str
    prompt: Prompt
    chunks: list[str] = field(factory=list)
    whole: bool = False
    cancelled: bool = False
    readers: int = 0
    scope: anyio.CancelScope = field(factory=anyio.CancelScope)
    changed: anyio.Event = field(factory=anyio.Event)

    def wake(self) -> None:
        """Let those who wait see what changed."""
        self.changed.set()
        self.changed = anyio.Event()


@define
class FakeEngine:
    """Serve generations in slots, as a batching engine does.

    :ivar consumed: what each attempt id caused; the oracle of tests.
    :ivar orders: the orders that took effect, in order.
    """

    models: set[str] = field(factory=lambda: {"badge-1"})
    role: str = "both"
    knobs: EngineKnobs = field(factory=EngineKnobs)
    #: How often a prompt ended it.
    ends: int = 0
    seed: int = 1
    consumed: dict[str, Consumed] = field(factory=dict)
    orders: list[AppliedOrder] = field(factory=list)
    running: int = 0
    generations: dict[str, Generation] = field(factory=dict)
    _highest_fence: int = 0
    _waiting: list[tuple[int, int, anyio.Event]] = field(factory=list)
    _order_of_arrival: itertools.count[int] = field(factory=itertools.count)
    _cache: PrefixCache = field(init=False)
    _figures: deque[tuple[float, int, int]] = field(factory=lambda: deque(maxlen=500))

    def __attrs_post_init__(self) -> None:
        knobs = self.knobs
        self._cache = PrefixCache(
            knobs.cache_blocks,
            knobs.cache_event_delay_s,
            knobs.cache_event_loss,
            self.seed,
        )

    def total_tokens(self) -> int:
        """Return all tokens consumed, of every attempt."""
        counts = self.consumed.values()
        return sum(one.prompt_tokens + one.completion_tokens for one in counts)

    def end(self) -> None:
        """End as a process does, with all that runs, and start again."""
        self.ends += 1
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
            await self._take_slot(generation.prompt.priority)
            try:
                await self._prefill(generation.prompt, count)
                await self._decode(generation, count)
                generation.whole = True
                count.ended = True
            finally:
                self._free_slot()
        generation.cancelled = not generation.whole
        count.cancelled = generation.cancelled
        generation.wake()

    def cancel(self, attempt_id: str) -> Consumed | None:
        """Stop a generation; return what it consumed, None for an unknown one."""
        generation = self.generations.get(attempt_id)
        if generation is None:
            return None
        generation.scope.cancel()
        return self.consumed[attempt_id]

    async def abandon(self, generation: Generation) -> None:
        """Cancel a generation that nobody has read for the time of grace."""
        await anyio.sleep(self.knobs.resume_grace_s)
        if generation.readers == 0 and not generation.whole:
            generation.scope.cancel()

    async def apply(self, kind: str, name: str, version: str, fence: int) -> None:
        """Carry out an order; raise StaleFence where numbers are checked."""
        self._check_fence(fence)
        await anyio.sleep(self.knobs.order_s)
        self._check_fence(fence)
        self._highest_fence = max(self._highest_fence, fence)
        names = {name, f"{name}@{version}"} if version else {name}
        if kind.startswith("load-"):
            self.models |= names
        elif kind.startswith("unload-"):
            self._unload(name, version)
        else:
            self.role = name
        now_s = anyio.current_time()
        self.orders.append(AppliedOrder(fence, kind, name, version, now_s))

    def state(self) -> list[str]:
        """Return what is loaded and the role, as it is now."""
        return [*sorted(self.models), f"role:{self.role}"]

    def load_report(self, after: int) -> dict[str, object]:
        """Return the load as it was a while ago, and cache events behind a number."""
        now_s = anyio.current_time()
        at_s, running, waiting = self._lagging_figures(now_s)
        return {
            "running": running,
            "waiting": waiting,
            "slots": self.knobs.slots,
            "tokens_per_s": running * self._tokens_per_s(),
            "models": sorted(self.models),
            "age_s": now_s - at_s,
            "cache_changes": self._cache.due_events(after, now_s),
        }

    def _check_fence(self, fence: int) -> None:
        if self.knobs.checks_fence and fence < self._highest_fence:
            raise StaleFence(f"{fence} is below {self._highest_fence}")

    def _unload(self, name: str, version: str) -> None:
        if version:
            self.models.discard(f"{name}@{version}")
        if not any(model.startswith(f"{name}@") for model in self.models):
            self.models.discard(name)

    async def _take_slot(self, priority: int) -> None:
        if self.running >= self.knobs.slots:
            turn = anyio.Event()
            entry = (priority, next(self._order_of_arrival), turn)
            heapq.heappush(self._waiting, entry)
            self._note()
            try:
                await turn.wait()
            except BaseException:
                if entry in self._waiting:
                    self._waiting.remove(entry)
                    heapq.heapify(self._waiting)
                else:
                    self._free_slot()
                raise
        else:
            self.running += 1
        self._note()

    def _free_slot(self) -> None:
        if self._waiting:
            heapq.heappop(self._waiting)[2].set()
        else:
            self.running -= 1
        self._note()

    async def _prefill(self, prompt: Prompt, count: Consumed) -> None:
        digests = prompt.prefix_digests()
        cached = sum(1 for digest in digests if digest in self._cache)
        fresh = prompt.tokens - prompt.tokens * cached // max(1, len(digests))
        count.prompt_tokens += prompt.tokens
        if self.knobs.prefill_tokens_per_s:
            wait_s = fresh / self.knobs.prefill_tokens_per_s * self.knobs.slow_factor
            await anyio.sleep(wait_s)
        for digest in digests:
            self._cache.remember(digest, anyio.current_time())

    async def _decode(self, generation: Generation, count: Consumed) -> None:
        prompt = generation.prompt
        pieces = answer_pieces(prompt.text)
        for piece in pieces[: prompt.max_tokens]:
            if self.knobs.decode_tokens_per_s:
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
        """Return the rate of one stream: a full batch runs at two thirds."""
        crowding = 1 + 0.5 * self.running / self.knobs.slots
        return self.knobs.decode_tokens_per_s / crowding / self.knobs.slow_factor

    def _note(self) -> None:
        self._figures.append((anyio.current_time(), self.running, len(self._waiting)))

    def _lagging_figures(self, now_s: float) -> tuple[float, int, int]:
        if self.knobs.freeze_reports:
            return self._figures[0] if self._figures else (now_s, 0, 0)
        edge_s = now_s - self.knobs.report_lag_s
        seen = [figure for figure in self._figures if figure[0] <= edge_s]
        running, waiting = (seen[-1][1], seen[-1][2]) if seen else (0, 0)
        return edge_s, running, waiting
