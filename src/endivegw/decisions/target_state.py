"""What a router believes about one target right now."""

from __future__ import annotations

import math
from collections import deque

from attrs import define, field

from endivegw.decisions.work import LoadFigures, TargetView, WorkItem

__all__ = ["Outstanding", "TargetState"]

#: Own work is remembered this far back, to be taken out of lagged reports.
_HISTORY_S = 15.0


@define(eq=False)
class Outstanding:
    """Hold one attempt that this router has on a target.

    :param expected_s: when its first token was expected, after the placement.
    :param finish_s: when its end was expected, after the placement.
    :param beside_tokens: the most unread prompt tokens seen there while it ran.
    """

    item: WorkItem
    placed_s: float
    load: float
    uncached_tokens: int
    expected_s: float
    finish_s: float
    first_s: float | None = None
    beside_tokens: int = 0


@define(eq=False)
class TargetState:
    """Combine the last report with this router's own work since then.

    A report is a second or two old. Counting only reports, every router sends
    all its work to the target that was emptiest then; counting only own work,
    a router does not see the others. Both together is the last known work of
    the others plus the present own work.

    :param others: work of other routers believed to be there now.
    :param reported_others: the same in the last report.
    :param loaded: models that its last report named; empty where it named none.
    :param weight: share of its slots that health leaves to this target.
    :param slowness: time it takes as a multiple of its peers' time.
    :param errors: moving share of attempts that failed.
    :param pending_tokens: prompt tokens sent there that are still being read.
    :param pace_s: usual time between two pieces of its answers; 0 before any.
    :param others_pending_tokens: the same of other routers, as last reported.
    :param held_off_until_s: until when it wants nothing of this router.
    """

    view: TargetView
    slots: int
    others: float = 0.0
    reported_others: float = 0.0
    reported_s: float | None = None
    draining: bool = False
    loaded: frozenset[str] = frozenset()
    weight: float = 1.0
    slowness: float = 1.0
    errors: float = 0.0
    pending_tokens: int = 0
    others_pending_tokens: int = 0
    pace_s: float = 0.0
    next_probe_s: float = 0.0
    held_off_until_s: float = 0.0
    same_reports: int = 0
    moved: bool = False
    believed: bool = True
    own: dict[str, Outstanding] = field(factory=dict)
    unread: dict[str, Outstanding] = field(factory=dict)
    _models: tuple[str, ...] = ()
    _last: tuple[int, int, float, int] | None = None
    _history: deque[tuple[float, int]] = field(factory=deque)

    def models(self) -> tuple[str, ...]:
        """Return what it serves, in an order that is the same in every run."""
        return self._models

    def set_view(self, view: TargetView) -> None:
        """Take over what membership says now."""
        self.view = view
        self._models = tuple(sorted(view.models))

    def occupied(self) -> float:
        """Return the work believed to be there, running or waiting."""
        return self.others + len(self.own)

    def unread_tokens(self) -> int:
        """Return the prompt tokens that are being read there, of all routers."""
        return self.pending_tokens + self.others_pending_tokens

    def load(self) -> float:
        """Return the work per slot."""
        return self.occupied() / self.slots

    def limit(self, share: float) -> float:
        """Return how much work may be there, by priority and health."""
        return max(1.0, self.slots * share * self.weight)

    def place(self, request_id: str, attempt: Outstanding) -> None:
        """Count an attempt that goes out now."""
        self.own[request_id] = attempt
        self.unread[request_id] = attempt
        self.pending_tokens += attempt.uncached_tokens
        self._note(attempt.placed_s)
        self._note_beside()

    def read(self, request_id: str) -> Outstanding | None:
        """Note the first token; None where it is no news."""
        attempt = self.unread.pop(request_id, None)
        if attempt is not None:
            self.pending_tokens -= attempt.uncached_tokens
        return attempt

    def end(self, request_id: str, now_s: float) -> Outstanding | None:
        """Take an attempt out; None where it was not there."""
        self.read(request_id)
        attempt = self.own.pop(request_id, None)
        if attempt is not None:
            self._note(now_s)
        return attempt

    def _note(self, now_s: float) -> None:
        self.moved = True
        self._history.append((now_s, len(self.own)))
        while self._history[0][0] < now_s - _HISTORY_S and len(self._history) > 1:
            self._history.popleft()

    def _note_beside(self) -> None:
        """Note on all own answers how much is being read beside them."""
        unread = self.unread_tokens()
        for attempt in self.own.values():
            attempt.beside_tokens = max(attempt.beside_tokens, unread)

    def own_at(self, at_s: float) -> int:
        """Return how much own work was there at a moment of the near past."""
        for noted_s, count in reversed(self._history):
            if noted_s <= at_s:
                return count
        return 0

    def report(self, figures: LoadFigures, now_s: float, frozen_after: int) -> bool:
        """Take in a report; False where it repeats itself while work moves.

        A daemon or engine whose figures froze goes on reporting the same ones.
        A target that filled up since then would look as empty as it was, and
        every router would send its work there. The figures of a busy target
        change between two reports, so equal ones while own work came and went
        are not believed.
        """
        self.draining = figures.draining
        self.others_pending_tokens = figures.unread_tokens
        self._note_beside()
        self.loaded = frozenset(figures.models)
        if figures.slots > 0:
            self.slots = figures.slots
        seen = (
            figures.running,
            figures.waiting,
            figures.tokens_per_s,
            figures.sequence,
        )
        if seen != self._last:
            self.same_reports = 0
        elif self.moved:
            self.same_reports += 1
        self._last = seen
        self.moved = False
        self.believed = self.same_reports < frozen_after
        if not self.believed:
            return False
        self.reported_s = now_s - figures.age_s
        own = self.own_at(self.reported_s)
        self.reported_others = max(0.0, figures.running + figures.waiting - own)
        return True

    def age(self, mean_others: float, held_s: float, now_s: float) -> None:
        """Let the report fade into the mean of the peers as it gets old.

        Work that was there in the report has ended and other work has come
        after about the time that one piece holds a slot. Short work has gone
        altogether when a report of it arrives: to rely on it would send work
        to the targets that everybody else filled since then.

        :param mean_others: mean work of other routers per target.
        :param held_s: how long one piece of work holds a slot.
        """
        kept = 0.0
        if self.reported_s is not None and held_s > 0.0:
            kept = math.exp(-max(0.0, now_s - self.reported_s) / held_s)
        self.others = mean_others + (self.reported_others - mean_others) * kept
