"""Queueing model of a target: continuous batching, prefill and prefix cache.

Streams in decode share one step, whose duration grows with their number. Prefill is
sequential per target and slows down the decode steps. The prefix cache stores complete
prompt blocks with LRU eviction.
"""

from __future__ import annotations

import heapq
from collections import OrderedDict, deque
from typing import Callable

from attrs import define, field, frozen

from endivegw.targets import CacheChange
from endivegw.types import AvailabilityZone, TargetName

__all__ = ["BLOCK_TOKENS", "Engine", "EngineSpec", "Job"]

#: Prompt tokens per cache block, each identified by one digest.
BLOCK_TOKENS = 256


@frozen
class EngineSpec:
    """Capacity and speed of a target.

    :param slots: maximum number of concurrent requests.
    :param step_base_s: duration of a decode step with an empty batch.
    :param step_slope_s: additional duration of a step per stream.
    :param prefill_tokens_per_s: prefill speed for prompt tokens that are not cached.
    :param overhead_s: fixed duration before the first token.
    :param prefill_slowdown: factor on the duration of a step during prefill.
    :param cache_blocks: capacity of the prefix cache in blocks.
    :param import_tokens_per_s: speed of importing cached blocks from a peer; 0 if the
        engine does not import.
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
        """Return the duration of a decode step with ``streams`` in the batch."""
        return self.step_base_s + self.step_slope_s * streams


@define(eq=False)
class Job:
    """An attempt at the target.

    :ivar end_step: value of the step counter of the engine at which the job ends.
    :ivar finished: whether the job has ended or was cancelled.
    """

    request_id: str
    priority: int
    prompt_tokens: int
    output_tokens: int
    digests: tuple[bytes, ...]
    started: bool = False
    first_token: bool = False
    cached_tokens: int = 0
    end_step: float = 0.0
    finished: bool = False


@define(eq=False)
class Engine:
    """Run jobs in virtual time.

    :param notify: called with (job, "started" | "first" | "ended", time).
    :param speed: factor on all speeds; below 1 for a slow target.
    :param failing: whether every attempt fails.
    :param frozen: whether load reports repeat the last figures.
    :param peers: engines with the same models.
    :ivar wake_version: incremented to invalidate scheduled wake-ups.
    :ivar tokens: tokens generated so far.
    :ivar hit_tokens: prompt tokens found in the cache.
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
    wake_version: int = 0
    tokens: float = 0.0
    hit_tokens: int = 0
    prompt_tokens: int = 0
    sequence: int = 0
    changes: list[CacheChange] = field(factory=list)
    _last_s: float = 0.0
    _completed_steps: float = 0.0
    _order: int = 0
    _slots_used: int = 0
    _waiting: list[tuple[int, int, Job]] = field(factory=list)
    _prefill: deque[Job] = field(factory=deque)
    _prefill_remaining_s: float = 0.0
    _decoding: list[tuple[float, int, Job]] = field(factory=list)
    _streams: int = 0
    _cache: OrderedDict[bytes, None] = field(factory=OrderedDict)

    @property
    def running(self) -> int:
        """Return the number of slots in use."""
        return self._slots_used

    @property
    def waiting(self) -> int:
        """Return the number of jobs queued at the target."""
        return sum(1 for _, _, job in self._waiting if not job.finished)

    def _step_s(self) -> float:
        step_s = self.spec.step_s(self._streams)
        if self._prefill:
            step_s *= self.spec.prefill_slowdown
        return step_s / self.speed

    def advance(self, now_s: float) -> None:
        """Advance the state to ``now_s``; no event may be due before."""
        elapsed_s = now_s - self._last_s
        self._last_s = now_s
        if elapsed_s <= 0.0:
            return
        if self._streams:
            steps = elapsed_s / self._step_s()
            self._completed_steps += steps
            self.tokens += steps * self._streams
        if self._prefill:
            self._prefill_remaining_s -= elapsed_s * self.speed

    def next_event_s(self) -> float | None:
        """Return the time of the next internal event, or None."""
        times = []
        while self._decoding and self._decoding[0][2].finished:
            heapq.heappop(self._decoding)
        if self._decoding:
            remaining_steps = self._decoding[0][0] - self._completed_steps
            times.append(self._last_s + max(0.0, remaining_steps) * self._step_s())
        if self._prefill:
            times.append(
                self._last_s + max(0.0, self._prefill_remaining_s) / self.speed
            )
        return min(times) if times else None

    def add(self, job: Job, now_s: float) -> None:
        """Queue a job."""
        self.advance(now_s)
        self._order += 1
        heapq.heappush(self._waiting, (job.priority, self._order, job))
        self._start_waiting(now_s)

    def cancel(self, job: Job, now_s: float) -> None:
        """Cancel a job that is queued or running."""
        if job.finished:
            return
        self.advance(now_s)
        job.finished = True
        if job.first_token:
            self._streams -= 1
        elif job.started:
            at_head = self._prefill[0] is job
            self._prefill.remove(job)
            if at_head:
                self._start_prefill()
        if job.started:
            self._slots_used -= 1
        self._start_waiting(now_s)

    def wake(self, now_s: float) -> None:
        """Process the events that are due."""
        self.advance(now_s)
        if self._prefill and self._prefill_remaining_s <= 1e-9:
            self._finish_prefill(now_s)
        while self._decoding:
            end_step, _, job = self._decoding[0]
            if job.finished:
                heapq.heappop(self._decoding)
                continue
            if end_step - self._completed_steps > 1e-6:
                break
            heapq.heappop(self._decoding)
            job.finished = True
            self._streams -= 1
            self._slots_used -= 1
            self.notify(job, "ended", now_s)
        self._start_waiting(now_s)

    def remaining_s(
        self, prompt: int, output: int, digests: tuple[bytes, ...], full: bool = False
    ) -> float:
        """Return the duration of a job placed now, computed with perfect knowledge.

        :param full: whether the batch stays full while the job runs.
        """
        cached = self.cached_tokens(digests)
        queued_tokens = sum(
            job.prompt_tokens - self.cached_tokens(job.digests)
            for job in list(self._prefill)[1:]
        )
        wait_s = max(0.0, self._prefill_remaining_s) if self._prefill else 0.0
        prefill_s = (queued_tokens + prompt - cached) / self.spec.prefill_tokens_per_s
        step_s = self.spec.step_s(self._streams + len(self._prefill) + 1)
        if full:
            step_s = self.spec.step_s(self.spec.slots) * self.spec.prefill_slowdown
        busy_s = wait_s + prefill_s + self.spec.overhead_s * (1 + len(self._prefill))
        return (busy_s + output * step_s) / self.speed

    def cached_tokens(self, digests: tuple[bytes, ...]) -> int:
        """Return the number of prompt tokens that the cache covers."""
        blocks = 0
        for digest in digests:
            if digest not in self._cache:
                break
            blocks += 1
        return blocks * BLOCK_TOKENS

    def _start_waiting(self, now_s: float) -> None:
        while self._waiting and self._slots_used < self.spec.slots:
            _, _, job = heapq.heappop(self._waiting)
            if job.finished:
                continue
            job.started = True
            self._slots_used += 1
            self._prefill.append(job)
            if len(self._prefill) == 1:
                self._start_prefill()
            self.notify(job, "started", now_s)

    def _start_prefill(self) -> None:
        if not self._prefill:
            return
        job = self._prefill[0]
        job.cached_tokens = self.cached_tokens(job.digests)
        uncached = job.prompt_tokens - job.cached_tokens
        prefill_s = uncached / self.spec.prefill_tokens_per_s
        prefill_s = min(prefill_s, self._import_s(job))
        self._prefill_remaining_s = self.spec.overhead_s + prefill_s

    def _import_s(self, job: Job) -> float:
        """Return the time to import blocks of the best peer and prefill the rest."""
        rate = self.spec.import_tokens_per_s
        if rate <= 0.0:
            return float("inf")
        peer_tokens = max(peer.cached_tokens(job.digests) for peer in self.peers)
        imported_tokens = max(0, peer_tokens - job.cached_tokens)
        remaining_tokens = job.prompt_tokens - job.cached_tokens - imported_tokens
        return (
            imported_tokens / rate + remaining_tokens / self.spec.prefill_tokens_per_s
        )

    def _finish_prefill(self, now_s: float) -> None:
        job = self._prefill.popleft()
        job.first_token = True
        self._streams += 1
        self.hit_tokens += job.cached_tokens
        self.prompt_tokens += job.prompt_tokens
        self._add_to_cache(job.digests)
        self._order += 1
        end_step = self._completed_steps + max(0, job.output_tokens - 1)
        heapq.heappush(self._decoding, (end_step, self._order, job))
        self._start_prefill()
        self.notify(job, "first", now_s)

    def _add_to_cache(self, digests: tuple[bytes, ...]) -> None:
        for digest in digests:
            if digest in self._cache:
                self._cache.move_to_end(digest)
                continue
            self._cache[digest] = None
            self._record_change(digest, False)
        while len(self._cache) > self.spec.cache_blocks:
            digest, _ = self._cache.popitem(last=False)
            self._record_change(digest, True)

    def _record_change(self, digest: bytes, evicted: bool) -> None:
        self.sequence += 1
        self.changes.append(CacheChange(self.sequence, digest, evicted))
