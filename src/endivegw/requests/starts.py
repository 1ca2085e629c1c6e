"""Record the attempts that a sidecar has started, so that none starts twice."""

from __future__ import annotations

import enum

from attrs import define, field, frozen

from endivegw.exceptions import InvariantError
from endivegw.results import Reason, Refused
from endivegw.types import AttemptId, InstanceId, RequestIdentity

__all__ = [
    "AnswerDiscarded",
    "CannotTell",
    "JoinAttempt",
    "MayStart",
    "NeverStarted",
    "StartLimits",
    "StartOrder",
    "StartRegistry",
    "Started",
]


@frozen
class StartOrder:
    """A router's order to start, join or replay an attempt.

    :param incarnation: the sidecar incarnation to which the attempt is bound.
    :param join_only: whether the order may only join or replay, never start.
    """

    identity: RequestIdentity
    attempt_id: AttemptId
    body_digest: bytes
    repeatable: bool
    incarnation: str
    join_only: bool = False


@frozen
class MayStart:
    """The order may be started."""


@frozen
class JoinAttempt:
    """The request already has an attempt, whose answer is to be used."""

    attempt_id: AttemptId


@frozen
class AnswerDiscarded:
    """The request was started and its answer is no longer available."""


@frozen
class NeverStarted:
    """The attempt has not started and never will, because its id is barred."""


@frozen
class Started:
    """The attempt has started.

    :param running: False if it has ended.
    """

    running: bool


@frozen
class CannotTell:
    """The attempt is bound to a period of which the sidecar has no record."""


@frozen
class StartLimits:
    """Limits on the memory of a registry.

    :param window_s: seconds after which a new window opens.
    :param window_entries: number of starts and bars after which a new window opens
        even earlier. 650 sidecars at 3,900 requests/s see 6 starts/s each, and a
        popular plain service about 100/s. For the latter 20,000 entries last 200 s.
        Two windows take about 8 MB.
    """

    window_s: float = 3600.0
    window_entries: int = 20_000


class _State(enum.Enum):
    RUNNING = enum.auto()
    COMPLETE = enum.auto()
    FAILED = enum.auto()


@define
class _Record:
    attempt_id: AttemptId
    body_digest: bytes
    repeatable: bool
    state: _State = _State.RUNNING


@define
class _Window:
    number: int
    opened_s: float
    started: set[AttemptId] = field(factory=set)
    barred: set[AttemptId] = field(factory=set)
    # Identities of non-repeatable requests that must not run again, with the digest of
    # their body.
    used_identities: dict[RequestIdentity, bytes] = field(factory=dict)

    @property
    def entries(self) -> int:
        return len(self.started) + len(self.barred)


class StartRegistry:
    """Decide for each order whether it starts, joins, replays or is refused.

    An order can be duplicated, an hour late, or sent by a router that was paused, and
    without a record of starts a non-repeatable operation would then run twice. To
    bound memory, the registry records starts in two *windows*. Each order names the
    incarnation to which it is bound: the process and the window in which the router
    chose this sidecar. An order bound to another process or to a discarded window is
    refused, because it may have run without a record in this registry.

    :param instance_id: identifies the process. A restarted process has no records and
        therefore refuses orders bound to its predecessor.
    """

    def __init__(
        self, instance_id: InstanceId, limits: StartLimits, now_s: float
    ) -> None:
        self._instance_id = instance_id
        self._limits = limits
        self._current = _Window(0, now_s)
        self._previous: _Window | None = None
        self._records: dict[RequestIdentity, _Record] = {}
        self._identities: dict[AttemptId, RequestIdentity] = {}

    @property
    def incarnation(self) -> str:
        """Return the incarnation to which routers must bind new attempts."""
        return f"{self._instance_id}.{self._current.number}"

    def decide(
        self, order: StartOrder, now_s: float
    ) -> MayStart | JoinAttempt | AnswerDiscarded | Refused:
        """Decide on an order without recording anything."""
        self._rotate(now_s)
        known = self._decide_known(order)
        if known is not None:
            return known
        if order.join_only:
            return Refused(Reason.NOT_FOUND, "the request is not known here")
        if self._is_barred(order.attempt_id):
            return Refused(Reason.CANCELLED, "cancelled before its start")
        if self._has_started(order.attempt_id):
            return AnswerDiscarded()
        if not self._has_window(order.incarnation):
            return Refused(
                Reason.WRONG_INSTANCE,
                f"bound to {order.incarnation!r}, this is {self.incarnation!r}",
            )
        return MayStart()

    def start(self, order: StartOrder, now_s: float) -> None:
        """Record a start, directly before the work is handed to the target.

        :raises InvariantError: if it would be a second start.
        """
        if not isinstance(self.decide(order, now_s), MayStart):
            raise InvariantError(f"attempt {order.attempt_id} must not be started")
        window = self._current
        window.started.add(order.attempt_id)
        if not order.repeatable:
            window.used_identities[order.identity] = order.body_digest
        self._replace_record(order)

    def ended(self, attempt_id: AttemptId, *, complete: bool) -> None:
        """Record that an attempt ended and its answer is retained for replay."""
        record = self._record(attempt_id)
        if record is not None:
            record.state = _State.COMPLETE if complete else _State.FAILED

    def record_never_started(self, attempt_id: AttemptId) -> None:
        """Undo the record of a start that the target definitely refused.

        The attempt id is barred, so that a duplicated order does not start a request
        that the router has placed elsewhere in the meantime.
        """
        identity = self._identities.pop(attempt_id, None)
        if identity is not None:
            del self._records[identity]
            for window in self._windows():
                window.used_identities.pop(identity, None)
                window.started.discard(attempt_id)
        self._current.barred.add(attempt_id)

    def forget_answer(self, attempt_id: AttemptId) -> None:
        """Record that the answer of an ended attempt was discarded."""
        identity = self._identities.pop(attempt_id, None)
        if identity is not None:
            del self._records[identity]

    def cancel(
        self, attempt_id: AttemptId, incarnation: str, now_s: float
    ) -> NeverStarted | Started | CannotTell:
        """Bar an attempt that has not started, and return its known state."""
        self._rotate(now_s)
        record = self._record(attempt_id)
        if record is not None:
            return Started(record.state is _State.RUNNING)
        if self._has_started(attempt_id):
            return Started(False)
        self._current.barred.add(attempt_id)
        if not self._has_window(incarnation):
            return CannotTell()
        return NeverStarted()

    def _decide_known(
        self, order: StartOrder
    ) -> JoinAttempt | AnswerDiscarded | Refused | None:
        record = self._records.get(order.identity)
        if record is not None:
            if record.body_digest != order.body_digest:
                return _conflict()
            both_repeatable = record.repeatable and order.repeatable
            if record.state is _State.FAILED and both_repeatable:
                return None
            return JoinAttempt(record.attempt_id)
        for window in self._windows():
            digest = window.used_identities.get(order.identity)
            if digest is not None:
                return AnswerDiscarded() if digest == order.body_digest else _conflict()
        return None

    def _replace_record(self, order: StartOrder) -> None:
        previous = self._records.get(order.identity)
        if previous is not None:
            self._identities.pop(previous.attempt_id, None)
        self._records[order.identity] = _Record(
            order.attempt_id, order.body_digest, order.repeatable
        )
        self._identities[order.attempt_id] = order.identity

    def _record(self, attempt_id: AttemptId) -> _Record | None:
        identity = self._identities.get(attempt_id)
        return None if identity is None else self._records[identity]

    def _windows(self) -> tuple[_Window, ...]:
        if self._previous is None:
            return (self._current,)
        return (self._current, self._previous)

    def _is_barred(self, attempt_id: AttemptId) -> bool:
        return any(attempt_id in window.barred for window in self._windows())

    def _has_started(self, attempt_id: AttemptId) -> bool:
        return any(attempt_id in window.started for window in self._windows())

    def _has_window(self, incarnation: str) -> bool:
        numbers = (window.number for window in self._windows())
        return incarnation in {f"{self._instance_id}.{n}" for n in numbers}

    def _rotate(self, now_s: float) -> None:
        window = self._current
        expired = now_s - window.opened_s >= self._limits.window_s
        if expired or window.entries >= self._limits.window_entries:
            self._previous = window
            self._current = _Window(window.number + 1, now_s)


def _conflict() -> Refused:
    return Refused(
        Reason.KEY_CONFLICT, "the key was used for a request with a different body"
    )
