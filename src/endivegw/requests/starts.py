"""What a sidecar has started, so that nothing starts twice."""

from __future__ import annotations

import enum

from attrs import define, field, frozen

from endivegw.exceptions import InvariantError
from endivegw.results import Reason, Refused
from endivegw.types import AttemptId, InstanceId, RequestIdentity

__all__ = [
    "AnswerGone",
    "CannotTell",
    "Follow",
    "MayStart",
    "NeverStarted",
    "Offer",
    "StartLimits",
    "StartRegistry",
    "Started",
]


@frozen
class Offer:
    """Hold what a router asks a sidecar to start, join or replay.

    :param incarnation: the sidecar's incarnation that the attempt is bound to.
    :param join_only: never start; only join or replay.
    """

    identity: RequestIdentity
    attempt_id: AttemptId
    body_digest: bytes
    repeatable: bool
    incarnation: str
    join_only: bool = False


@frozen
class MayStart:
    """Say that nothing known speaks against a start."""


@frozen
class Follow:
    """Say which attempt's answer is this request's answer."""

    attempt_id: AttemptId


@frozen
class AnswerGone:
    """Say that the request was started and its answer is no longer held."""


@frozen
class NeverStarted:
    """Say that an attempt has not started and never will: its id is barred."""


@frozen
class Started:
    """Say that an attempt has started.

    :param running: False where it has ended.
    """

    running: bool


@frozen
class CannotTell:
    """Say that the attempt belongs to a time that the sidecar does not remember."""


@frozen
class StartLimits:
    """Bound what a registry remembers.

    :param window_s: after how long a new window opens.
    :param window_entries: after how many starts and bars one opens at the
        latest. 650 sidecars at 3,900 requests a second see 6 starts a second
        each, and a popular plain service some 100: 20,000 entries last it 200
        seconds, and two windows take about 8 MB.
    """

    window_s: float = 3600.0
    window_entries: int = 20_000


class _State(enum.Enum):
    RUNNING = enum.auto()
    WHOLE = enum.auto()
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
    # Identities that must not run again, with the digest of their body.
    spent: dict[RequestIdentity, bytes] = field(factory=dict)

    @property
    def entries(self) -> int:
        return len(self.started) + len(self.barred)


class StartRegistry:
    """Decide for each order whether it starts, joins, replays or is refused.

    An order can be doubled, late by an hour, or sent by a router that was
    paused; its caller would see a second badge printed. So the registry must
    remember each start, in bounded memory. It remembers two *windows*. Each
    order names the incarnation it is bound to, which is the process and the
    window in which the router chose this sidecar. An order bound to another
    process or to a window that is forgotten is refused: it may have run, then,
    and this registry could not tell.

    :param instance_id: the process; a restarted one remembers nothing and so
        refuses what was bound to its predecessor.
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
        """Return what routers must bind new attempts to."""
        return f"{self._instance_id}.{self._current.number}"

    def offer(
        self, offer: Offer, now_s: float
    ) -> MayStart | Follow | AnswerGone | Refused:
        """Decide on an order; nothing is recorded yet."""
        self._rotate(now_s)
        known = self._known(offer)
        if known is not None:
            return known
        if offer.join_only:
            return Refused(Reason.NOT_FOUND, "no such request is known here")
        if self._is_barred(offer.attempt_id):
            return Refused(Reason.CANCELLED, "cancelled before its start")
        if self._has_started(offer.attempt_id):
            return AnswerGone()
        if not self._remembers(offer.incarnation):
            return Refused(
                Reason.WRONG_INSTANCE,
                f"bound to {offer.incarnation!r}, this is {self.incarnation!r}",
            )
        return MayStart()

    def start(self, offer: Offer, now_s: float) -> None:
        """Record a start, right before the work is handed to the target.

        :raises InvariantError: where it would be a second start.
        """
        if not isinstance(self.offer(offer, now_s), MayStart):
            raise InvariantError(f"attempt {offer.attempt_id} must not start")
        window = self._current
        window.started.add(offer.attempt_id)
        if not offer.repeatable:
            window.spent[offer.identity] = offer.body_digest
        self._replace(offer)

    def ended(self, attempt_id: AttemptId, *, whole: bool) -> None:
        """Record that an attempt ended and its answer is held for replay."""
        record = self._record(attempt_id)
        if record is not None:
            record.state = _State.WHOLE if whole else _State.FAILED

    def never_began(self, attempt_id: AttemptId) -> None:
        """Take back a start that the target refused for certain.

        The attempt's id is barred, so that a doubled order does not start what
        the router has meanwhile placed elsewhere.
        """
        identity = self._identities.pop(attempt_id, None)
        if identity is not None:
            del self._records[identity]
            for window in self._windows():
                window.spent.pop(identity, None)
                window.started.discard(attempt_id)
        self._current.barred.add(attempt_id)

    def forget_answer(self, attempt_id: AttemptId) -> None:
        """Record that the answer of an ended attempt is no longer held."""
        identity = self._identities.pop(attempt_id, None)
        if identity is not None:
            del self._records[identity]

    def cancel(
        self, attempt_id: AttemptId, incarnation: str, now_s: float
    ) -> NeverStarted | Started | CannotTell:
        """Bar an attempt that has not started; tell what is known of it."""
        self._rotate(now_s)
        record = self._record(attempt_id)
        if record is not None:
            return Started(record.state is _State.RUNNING)
        if self._has_started(attempt_id):
            return Started(False)
        self._current.barred.add(attempt_id)
        if not self._remembers(incarnation):
            return CannotTell()
        return NeverStarted()

    def _known(self, offer: Offer) -> Follow | AnswerGone | Refused | None:
        record = self._records.get(offer.identity)
        if record is not None:
            if record.body_digest != offer.body_digest:
                return _conflict()
            again = record.repeatable and offer.repeatable
            if record.state is _State.FAILED and again:
                return None
            return Follow(record.attempt_id)
        for window in self._windows():
            digest = window.spent.get(offer.identity)
            if digest is not None:
                return AnswerGone() if digest == offer.body_digest else _conflict()
        return None

    def _replace(self, offer: Offer) -> None:
        old = self._records.get(offer.identity)
        if old is not None:
            self._identities.pop(old.attempt_id, None)
        self._records[offer.identity] = _Record(
            offer.attempt_id, offer.body_digest, offer.repeatable
        )
        self._identities[offer.attempt_id] = offer.identity

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

    def _remembers(self, incarnation: str) -> bool:
        numbers = (window.number for window in self._windows())
        return incarnation in {f"{self._instance_id}.{n}" for n in numbers}

    def _rotate(self, now_s: float) -> None:
        window = self._current
        old = now_s - window.opened_s >= self._limits.window_s
        if old or window.entries >= self._limits.window_entries:
            self._previous = window
            self._current = _Window(window.number + 1, now_s)


def _conflict() -> Refused:
    return Refused(
        Reason.KEY_CONFLICT, "the key was used for a request with another body"
    )
