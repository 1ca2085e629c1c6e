"""State of one target as estimated by this router."""

from __future__ import annotations

import math
from collections import deque

from attrs import define, field

from endivegw.decisions.send_permits import SendLimit, SendPermits
from endivegw.decisions.warm_up import MAX_SENDS
from endivegw.decisions.work import LoadFigures, TargetView, WorkItem

__all__ = ["Outstanding", "TargetState"]

#: How far back the number of local attempts is recorded, to subtract it from reports
#: that arrive late.
_HISTORY_LENGTH_S = 15.0


#: Interval at which a router that holds a permit sends a request to a limited target.
_LIMIT_PROBE_S = 1.0


@define(eq=False)
class Outstanding:
    """Hold one attempt that this router has on a target.

    :param load: load per slot of the target before the placement.
    :param expected_first_s: expected time from the placement to the first token.
    :param finish_s: expected time from the placement to the end.
    :param first_s: time of the first token; None before it arrived.
    :param concurrent_unread_tokens: maximum of the unread prompt tokens on the target
        while the attempt ran.
    :param sent: whether the request was sent, which follows its placement once a
        connection is open.
    """

    item: WorkItem
    placed_s: float
    load: float
    uncached_tokens: int
    expected_first_s: float
    finish_s: float
    first_s: float | None = None
    concurrent_unread_tokens: int = 0
    sent: bool = False


@define(eq=False)
class TargetState:
    """Combine a target's last report with this router's requests since then.

    A report is a second or two old. With reports alone, every router would send all its
    requests to the target that was least loaded at that time; with its own requests
    alone, a router would not see those of the others. The estimate is the last known
    number of the other routers' requests plus the current number of this router's.

    :param remote_work: estimated number of other routers' requests there now.
    :param reported_remote_work: the same at the time of the last report.
    :param loaded: models named by the last report; empty if it named none.
    :param weight: share of its slots that health leaves to the target.
    :param slowness: time that the target takes as a multiple of its peers' time.
    :param errors: moving share of attempts that failed.
    :param pending_tokens: prompt tokens sent there by this router that are still being
        read.
    :param token_interval_s: usual time between two pieces of its answers; 0 until
        measured.
    :param remote_pending_tokens: the same as ``pending_tokens`` for the other routers,
        as last reported.
    :param backoff_until_s: time until which the target asked this router to send
        nothing.
    :param repeated_reports: number of consecutive reports equal to the one before,
        while this router's requests came or went.
    :param permits: this router's permits while the target limits its requests.
    :param trusted: whether reports are used; False while they appear frozen.
    """

    view: TargetView
    slots: int
    remote_work: float = 0.0
    reported_remote_work: float = 0.0
    reported_s: float | None = None
    draining: bool = False
    loaded: frozenset[str] = frozenset()
    weight: float = 1.0
    slowness: float = 1.0
    errors: float = 0.0
    pending_tokens: int = 0
    remote_pending_tokens: int = 0
    token_interval_s: float = 0.0
    next_probe_s: float = 0.0
    backoff_until_s: float = 0.0
    repeated_reports: int = 0
    changed_since_report: bool = False
    trusted: bool = True
    permits: SendPermits = field(factory=SendPermits)
    local_attempts: dict[str, Outstanding] = field(factory=dict)
    unread: dict[str, Outstanding] = field(factory=dict)
    _models: tuple[str, ...] = ()
    _last_figures: tuple[int, int, float, int] | None = None
    _sends_s: deque[float] = field(factory=lambda: deque(maxlen=MAX_SENDS))
    _history: deque[tuple[float, int]] = field(factory=deque)

    def models(self) -> tuple[str, ...]:
        """Return the models served, in an order that is the same in every run."""
        return self._models

    def set_view(self, view: TargetView) -> None:
        """Apply the current membership entry."""
        self.view = view
        self._models = tuple(sorted(view.models))

    def occupied(self) -> float:
        """Return the estimated number of requests there, running or waiting."""
        return self.remote_work + len(self.local_attempts)

    def unread_tokens(self) -> int:
        """Return the prompt tokens being read there, for all routers."""
        return self.pending_tokens + self.remote_pending_tokens

    def load(self) -> float:
        """Return the estimated requests per slot."""
        return self.occupied() / self.slots

    def limit(self, share: float) -> float:
        """Return how many requests the target may have.

        :param share: share of the slots that the request's priority may fill.
        """
        return max(1.0, self.slots * share * self.weight)

    def place(self, request_id: str, attempt: Outstanding) -> None:
        """Add an attempt that is being sent."""
        self.local_attempts[request_id] = attempt
        self.unread[request_id] = attempt
        self.pending_tokens += attempt.uncached_tokens
        self._record_count(attempt.placed_s)
        self._record_concurrent_reads()

    def record_first_token(self, request_id: str) -> Outstanding | None:
        """Record the first token; return None if it was already recorded."""
        attempt = self.unread.pop(request_id, None)
        if attempt is not None:
            self.pending_tokens -= attempt.uncached_tokens
        return attempt

    def end(self, request_id: str, now_s: float) -> Outstanding | None:
        """Remove an attempt; return None if there is no such attempt."""
        self.record_first_token(request_id)
        attempt = self.local_attempts.pop(request_id, None)
        if attempt is not None:
            self._record_count(now_s)
        return attempt

    def limit_at(self, now_s: float) -> SendLimit | None:
        """Return the target's limit on requests, or None if it has none."""
        limit = self.view.limit
        if limit is None or (limit.ends_s is not None and limit.ends_s <= now_s):
            return None
        return limit

    def send_wait_s(self, now_s: float) -> float:
        """Return the time until this router may place a request on the target.

        0 unless the target is warming up or limits its requests. Requests that are
        placed but not yet sent count as sent.
        """
        limit = self.limit_at(now_s)
        if self.view.warm_up is None and limit is None:
            return 0.0
        wait_s = self._quota_wait_s(self.unsent(), now_s)
        if limit is None:
            return wait_s
        return max(wait_s, self.permits.wait_s(self.unsent(), now_s))

    def is_limit_probe_due(self, now_s: float) -> bool:
        """Return whether a request would show if the target still has its limit."""
        if self.limit_at(now_s) is None or not self.permits.held(now_s):
            return False
        return not self._sends_s or self._sends_s[-1] <= now_s - _LIMIT_PROBE_S

    def unsent(self) -> int:
        """Return the number of requests that were placed but not yet sent."""
        return sum(not attempt.sent for attempt in self.local_attempts.values())

    def start_send(self, request_id: str, now_s: float) -> bool:
        """Record the send of a placed request; return False if it must not be sent.

        Requests placed over some seconds may be sent at once when connections open, or
        the target may have begun to warm up, or may have limited its requests, since
        the placement.
        """
        if self._quota_wait_s(0, now_s) > 0.0:
            return False
        if self.limit_at(now_s) is not None and not self.permits.consume(now_s):
            return False
        self._sends_s.append(now_s)
        attempt = self.local_attempts.get(request_id)
        if attempt is not None:
            attempt.sent = True
        return True

    def _quota_wait_s(self, unsent: int, now_s: float) -> float:
        warm_up = self.view.warm_up
        if warm_up is None or warm_up.ends_s <= now_s:
            return 0.0
        quota = warm_up.quota
        left_s = warm_up.ends_s - now_s
        if quota.sends <= unsent:
            return min(left_s, quota.window_s) if quota.sends else left_s
        recent_s = [at_s for at_s in self._sends_s if at_s > now_s - quota.window_s]
        excess = len(recent_s) + unsent - quota.sends
        if excess < 0:
            return 0.0
        return min(left_s, recent_s[excess] + quota.window_s - now_s)

    def _record_count(self, now_s: float) -> None:
        self.changed_since_report = True
        self._history.append((now_s, len(self.local_attempts)))
        while (
            self._history[0][0] < now_s - _HISTORY_LENGTH_S and len(self._history) > 1
        ):
            self._history.popleft()

    def _record_concurrent_reads(self) -> None:
        """Record on all local attempts how many tokens are being read beside them."""
        unread = self.unread_tokens()
        for attempt in self.local_attempts.values():
            attempt.concurrent_unread_tokens = max(
                attempt.concurrent_unread_tokens, unread
            )

    def local_count_at(self, at_s: float) -> int:
        """Return the number of this router's attempts at a recent time."""
        for recorded_s, count in reversed(self._history):
            if recorded_s <= at_s:
                return count
        return 0

    def report(self, figures: LoadFigures, now_s: float, frozen_after: int) -> bool:
        """Apply a report; return False if it appears frozen.

        A daemon or engine that hangs may keep reporting the same figures. A target
        that filled up since then would still look empty, and every router would send
        its requests there. The figures of a busy target change between two reports, so
        equal ones are not trusted while this router's requests came and went.

        :param frozen_after: number of repeated reports from which on they are not
            trusted.
        """
        self.draining = figures.draining
        self.remote_pending_tokens = figures.unread_tokens
        self._record_concurrent_reads()
        self.loaded = frozenset(figures.models)
        if figures.slots > 0:
            self.slots = figures.slots
        seen = (
            figures.running,
            figures.waiting,
            figures.tokens_per_s,
            figures.sequence,
        )
        if seen != self._last_figures:
            self.repeated_reports = 0
        elif self.changed_since_report:
            self.repeated_reports += 1
        self._last_figures = seen
        self.changed_since_report = False
        self.trusted = self.repeated_reports < frozen_after
        if not self.trusted:
            return False
        self.reported_s = now_s - figures.age_s
        local_count = self.local_count_at(self.reported_s)
        self.reported_remote_work = max(
            0.0, figures.running + figures.waiting - local_count
        )
        return True

    def decay_report(
        self, mean_remote_work: float, service_time_s: float, now_s: float
    ) -> None:
        """Let the last report decay towards the mean of the peers.

        The requests in a report end, and others arrive, within about the time for which
        one request holds a slot. Short requests have all ended by the time a report
        arrives; relying on it would send requests to targets that other routers have
        filled since then.

        :param mean_remote_work: mean number of other routers' requests per target.
        :param service_time_s: how long one request holds a slot.
        """
        retained = 0.0
        if self.reported_s is not None and service_time_s > 0.0:
            retained = math.exp(-max(0.0, now_s - self.reported_s) / service_time_s)
        self.remote_work = (
            mean_remote_work + (self.reported_remote_work - mean_remote_work) * retained
        )
