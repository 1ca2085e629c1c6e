"""A target in virtual time: continuous batching, prefill, prefix cache.

A few lines of queueing model, not an engine. Streams in decode share one step
whose time grows with their number; prefill is one queue per target, and slows
the step while it runs; whole prompt blocks are kept least recently used.
"""

from __future__ import annotations

import heapq
from collections import OrderedDict, deque
from typing import Callable

from attrs import define, field, frozen

from endivegw.targets import CacheChange
from endivegw.types import AvailabilityZone, TargetName

__all__ = ["BLOCK_TOKENS", "Engine", "EngineSpec", "Job"]

#: Prompt tokens covered by one digest.
BLOCK_TOKENS = 256


@frozen
class EngineSpec:
    """Hold what a target can do.

    :param step_base_s: time of one decode step with an empty batch.
    :param step_slope_s: what each stream adds to the step.
    :param prefill_tokens_per_s: speed of reading a prompt that is not cached.
    :param overhead_s: fixed time before the first token.
    :param prefill_slowdown: factor on the step while a prompt is read.
    :param cache_blocks: prompt blocks that the cache holds.
    :param import_tokens_per_s: speed of importing cached blocks from a peer; 0
        for engines that do not.
    """

    slots: int = 16
    step_base_s: float = 0.018
    step_slope_s: float = 0.0016
    prefill_tokens_per_s: float = 5000.0
    overhead_s: float = 0.015
    prefill_slowdown: float = 1.15
    cache_blocks: int = 60
    import_tokens_per_s: float = 0.0

    def step_s(self, streams: int) -> float:
        """Return the time between two tokens of a batch of ``streams``."""
        return self.step_base_s + self.step_slope_s * streams


@define(eq=False)
class Job:
    """Hold one attempt as the target sees it."""

    request_id: str
    priority: int
    prompt_tokens: int
    output_tokens: int
    digests: tuple[bytes, ...]
    started: bool = False
    first_token: bool = False
    cached_tokens: int = 0
    ends_at: float = 0.0
    gone: bool = False


@define(eq=False)
class Engine:
    """Run jobs in virtual time.

    :param notify: called with (job, "started" | "first" | "ended", time).
    :param speed: factor on all speeds; below 1 for a slow target.
    """

    name: TargetName
    availability_zone: AvailabilityZone
    models: frozenset[str]
    spec: EngineSpec
    notify: Callable[[Job, str, float], None]
    speed: float = 1.0
    failing: bool = False
    frozen: bool = False
    peers: tuple[Engine, ...] = ()
    version: int = 0
    tokens: float = 0.0
    hit_tokens: int = 0
    prompt_tokens: int = 0
    sequence: int = 0
    changes: list[CacheChange] = field(factory=list)
    _last_s: float = 0.0
    _progress: float = 0.0
    _seq: int = 0
    _slots_used: int = 0
    _waiting: list[tuple[int, int, Job]] = field(factory=list)
    _prefill: deque[Job] = field(factory=deque)
    _prefill_left: float = 0.0
    _decoding: list[tuple[float, int, Job]] = field(factory=list)
    _streams: int = 0
    _cache: OrderedDict[bytes, None] = field(factory=OrderedDict)

    @property
    def running(self) -> int:
        """Return the slots in use."""
        return self._slots_used

    @property
    def waiting(self) -> int:
        """Return the length of the target's own queue."""
        return sum(1 for _, _, job in self._waiting if not job.gone)

    def _step_s(self) -> float:
        step_s = self.spec.step_s(self._streams)
        if self._prefill:
            step_s *= self.spec.prefill_slowdown
        return step_s / self.speed

    def advance(self, now_s: float) -> None:
        """Bring the state to ``now_s``; no event may lie in between."""
        passed_s = now_s - self._last_s
        self._last_s = now_s
        if passed_s <= 0.0:
            return
        if self._streams:
            made = passed_s / self._step_s()
            self._progress += made
            self.tokens += made * self._streams
        if self._prefill:
            self._prefill_left -= passed_s * self.speed

    def next_event_s(self) -> float | None:
        """Return when something happens by itself."""
        times = []
        while self._decoding and self._decoding[0][2].gone:
            heapq.heappop(self._decoding)
        if self._decoding:
            left = self._decoding[0][0] - self._progress
            times.append(self._last_s + max(0.0, left) * self._step_s())
        if self._prefill:
            times.append(self._last_s + max(0.0, self._prefill_left) / self.speed)
        return min(times) if times else None

    def add(self, job: Job, now_s: float) -> None:
        """Take a job into the target's queue."""
        self.advance(now_s)
        self._seq += 1
        heapq.heappush(self._waiting, (job.priority, self._seq, job))
        self._fill(now_s)

    def cancel(self, job: Job, now_s: float) -> None:
        """Stop a job wherever it is."""
        if job.gone:
            return
        self.advance(now_s)
        job.gone = True
        if job.first_token:
            self._streams -= 1
        elif job.started:
            at_head = self._prefill[0] is job
            self._prefill.remove(job)
            if at_head:
                self._begin_prefill()
        if job.started:
            self._slots_used -= 1
        self._fill(now_s)

    def wake(self, now_s: float) -> None:
        """Carry out what falls due now."""
        self.advance(now_s)
        if self._prefill and self._prefill_left <= 1e-9:
            self._end_prefill(now_s)
        while self._decoding:
            ends_at, _, job = self._decoding[0]
            if job.gone:
                heapq.heappop(self._decoding)
                continue
            if ends_at - self._progress > 1e-6:
                break
            heapq.heappop(self._decoding)
            job.gone = True
            self._streams -= 1
            self._slots_used -= 1
            self.notify(job, "ended", now_s)
        self._fill(now_s)

    def remaining_s(
        self, prompt: int, output: int, digests: tuple[bytes, ...], full: bool = False
    ) -> float:
        """Return how long a job placed now would take, with perfect knowledge.

        :param full: whether the batch stays full meanwhile.
        """
        cached = self.cached_tokens(digests)
        reading = sum(
            job.prompt_tokens - self.cached_tokens(job.digests)
            for job in list(self._prefill)[1:]
        )
        wait_s = max(0.0, self._prefill_left) if self._prefill else 0.0
        read_s = (reading + prompt - cached) / self.spec.prefill_tokens_per_s
        step_s = self.spec.step_s(self._streams + len(self._prefill) + 1)
        if full:
            step_s = self.spec.step_s(self.spec.slots) * self.spec.prefill_slowdown
        busy_s = wait_s + read_s + self.spec.overhead_s * (1 + len(self._prefill))
        return (busy_s + output * step_s) / self.speed

    def cached_tokens(self, digests: tuple[bytes, ...]) -> int:
        """Return how much of a prompt the cache covers."""
        blocks = 0
        for digest in digests:
            if digest not in self._cache:
                break
            blocks += 1
        return blocks * BLOCK_TOKENS

    def _fill(self, now_s: float) -> None:
        while self._waiting and self._slots_used < self.spec.slots:
            _, _, job = heapq.heappop(self._waiting)
            if job.gone:
                continue
            job.started = True
            self._slots_used += 1
            self._prefill.append(job)
            if len(self._prefill) == 1:
                self._begin_prefill()
            self.notify(job, "started", now_s)

    def _begin_prefill(self) -> None:
        if not self._prefill:
            return
        job = self._prefill[0]
        job.cached_tokens = self.cached_tokens(job.digests)
        uncached = job.prompt_tokens - job.cached_tokens
        read_s = uncached / self.spec.prefill_tokens_per_s
        read_s = min(read_s, self._import_s(job))
        self._prefill_left = self.spec.overhead_s + read_s

    def _import_s(self, job: Job) -> float:
        """Return the time to import what the best peer has and read the rest."""
        rate = self.spec.import_tokens_per_s
        if rate <= 0.0:
            return float("inf")
        held = max(peer.cached_tokens(job.digests) for peer in self.peers)
        moved = max(0, held - job.cached_tokens)
        rest = job.prompt_tokens - job.cached_tokens - moved
        return moved / rate + rest / self.spec.prefill_tokens_per_s

    def _end_prefill(self, now_s: float) -> None:
        job = self._prefill.popleft()
        job.first_token = True
        self._streams += 1
        self.hit_tokens += job.cached_tokens
        self.prompt_tokens += job.prompt_tokens
        self._remember(job.digests)
        self._seq += 1
        ends_at = self._progress + max(0, job.output_tokens - 1)
        heapq.heappush(self._decoding, (ends_at, self._seq, job))
        self._begin_prefill()
        self.notify(job, "first", now_s)

    def _remember(self, digests: tuple[bytes, ...]) -> None:
        for digest in digests:
            if digest in self._cache:
                self._cache.move_to_end(digest)
                continue
            self._cache[digest] = None
            self._change(digest, False)
        while len(self._cache) > self.spec.cache_blocks:
            digest, _ = self._cache.popitem(last=False)
            self._change(digest, True)

    def _change(self, digest: bytes, evicted: bool) -> None:
        self.sequence += 1
        self.changes.append(CacheChange(self.sequence, digest, evicted))
