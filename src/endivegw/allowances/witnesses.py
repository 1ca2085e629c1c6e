"""Witnesses: routers that know what a router may have used when it died.

The limit of a router's use grows with time, so that the router can continue without
the store. When it is killed, its successor reads the row seconds later and would have
to count all the growth up to then as used, although the router was dead for most of
that time: after a kill with a restart after 3.8 s this was a twentieth of a large
account's budget.

A router therefore also sends its limits to a few other routers, its witnesses, ten
times a second, whenever a request needs more, and whenever a peer lent it tokens. It
uses no more than all of them have acknowledged, so that any one that survives knows all
that was used, to within a tenth of a second. A witness that stops acknowledging is left
out of the next row, and one whose process was replaced is not waited for. While not all
acknowledge, the router records in its row that the row's limits hold outright, and its
successor counts those limits in full.

In an outage of the store no row can leave out a witness. A witness that has lost the
store itself therefore waives: for some seconds, the router need not wait for it as
long as a majority acknowledges. A witness that reaches the store never waives. If it is
the only one to survive, it still knows all that was used.
"""

from __future__ import annotations

import math
from collections import deque
from typing import Mapping

from attrs import define, field, frozen

from endivegw.types import ClientAccountName, InstanceId

__all__ = [
    "GRACE_MS",
    "Statement",
    "WAIVER_MS",
    "Witnesses",
    "majority",
    "reached_by",
]

#: How far limits grow beyond the last acknowledged time. Two statements and their
#: acknowledgements may be lost before growth pauses.
GRACE_MS = 500.0

#: How long a waiver lasts, as long as most machines take to return. If only witnesses
#: that waived survive, the growth in this time counts as used.
WAIVER_MS = 4000.0

#: Statements retained for a witness that acknowledges slowly: half a second's worth at
#: a busy router, which also sends its limits for single requests. A witness further
#: behind counts as having received nothing.
_MAX_SENT_STATEMENTS = 64


@frozen
class Statement:
    """A router's statement of its limits.

    :param sequence: increases with each statement of one process.
    :param clock_ms: the store's clock as known to the sender.
    :param limits: the most that it will have used of an account until its next
        statement. An account that is not named is bound by the row alone.
    :param final: whether it has stopped using tokens; the limits are then its exact
        use.
    :param waived_ms: at a witness, the clock of the last statement for which it waived;
        minus infinity if it never did.
    """

    sequence: int
    clock_ms: float
    limits: Mapping[ClientAccountName, int] = field(factory=dict)
    final: bool = False
    waived_ms: float = -math.inf

    def limit_tokens(self, account: ClientAccountName) -> float:
        """Return the limit of an account, infinity if it is not named.

        Minus infinity if no statement was received, since nothing was then used on the
        basis of one.
        """
        if self.sequence == 0:
            return -math.inf
        return self.limits.get(account, math.inf)

    def waived_since(self, as_of_ms: float) -> bool:
        """Return whether the witness waived after a row was written."""
        return math.isfinite(self.waived_ms) and self.waived_ms >= as_of_ms


#: A statement that limits nothing.
_UNBOUNDED = Statement(1, math.inf)


@define
class Witnesses:
    """The witnesses of this router, the statements sent, and the acknowledgements.

    :ivar confirmed: witnesses named by the row in the store.
    :ivar pending: witnesses named by a write without an answer; None without one.
    :ivar candidates: routers that receive statements and are named once they
        acknowledge them.
    """

    confirmed: tuple[InstanceId, ...] = ()
    pending: tuple[InstanceId, ...] | None = None
    candidates: tuple[InstanceId, ...] = ()
    _confirmed_outright: bool = False
    _pending_outright: bool = False
    #: Times of the two rows on the store's clock. Earlier waivers do not apply to them.
    _confirmed_as_of_ms: float = math.inf
    _pending_as_of_ms: float = math.inf
    _sent: deque[Statement] = field(factory=lambda: deque(maxlen=_MAX_SENT_STATEMENTS))
    _acknowledged: dict[InstanceId, int] = field(factory=dict)
    #: Sequence of the last statement sent before a witness was known.
    _known_since: dict[InstanceId, int] = field(factory=dict)
    #: Witnesses that ended. They answer no successor, so nobody relies on what they
    #: acknowledged.
    _ended: set[InstanceId] = field(factory=set)
    #: Clock of the last statement for which each witness waived.
    _waived_ms: dict[InstanceId, float] = field(factory=dict)

    def record_sent(self, statement: Statement) -> None:
        """Record a statement that is being sent."""
        self._sent.append(statement)

    def acknowledge(self, witness: InstanceId, sequence: int) -> None:
        """Record that a router acknowledged a statement."""
        if sequence > self._acknowledged.get(witness, 0):
            self._acknowledged[witness] = sequence

    def record_waiver(self, witness: InstanceId, sequence: int) -> None:
        """Record that a witness waived when it acknowledged a statement."""
        for sent in self._sent:
            if sent.sequence == sequence:
                known_ms = self._waived_ms.get(witness, -math.inf)
                self._waived_ms[witness] = max(known_ms, sent.clock_ms)

    def record_replacement(self, witness: InstanceId, sequence: int) -> None:
        """Record that another process acknowledged a statement in a witness's place.

        If the statement was sent after the witness was known, that process is a later
        one, and the witness has ended. Otherwise it may be the witness's predecessor,
        whose acknowledgement is late.
        """
        if sequence > self._known_since.get(witness, sequence):
            self._ended.add(witness)

    @property
    def outright(self) -> bool:
        """Return whether the limits of every possible row hold outright."""
        if self.pending is None:
            return self._confirmed_outright
        return self._confirmed_outright and self._pending_outright

    def has_enough(self, store_ms: float) -> bool:
        """Return whether all that are waited for acknowledged in the grace period."""
        row = (self.confirmed, self._confirmed_as_of_ms)
        return self._growth_until_ms(*row, store_ms) >= store_ms

    def select(
        self, candidates: tuple[InstanceId, ...], store_ms: float
    ) -> tuple[InstanceId, ...]:
        """Return the witnesses that the next write should name.

        A candidate that does not acknowledge statements would only keep the limits from
        growing. All are named if none acknowledges.
        """
        self.candidates = candidates
        last_sequence = self._sent[-1].sequence if self._sent else 0
        for name in candidates:
            self._known_since.setdefault(name, last_sequence)
        current = tuple(
            name
            for name in candidates
            if name not in self._ended
            and self._received_by(name)[0] + GRACE_MS >= store_ms
        )
        return current or candidates

    def plan(
        self,
        witnesses: tuple[InstanceId, ...],
        outright: bool,
        as_of_ms: float = math.inf,
    ) -> None:
        """Record the witnesses that the next write names, and its ``outright`` flag.

        :param as_of_ms: time of the row on the store's clock.
        """
        self.pending = witnesses
        self._pending_outright = outright
        self._pending_as_of_ms = as_of_ms
        retained = {*self.confirmed, *witnesses, *self.candidates}
        self._acknowledged = {
            name: self._acknowledged[name]
            for name in retained & set(self._acknowledged)
        }
        self._known_since = {
            name: self._known_since[name] for name in retained & set(self._known_since)
        }
        self._waived_ms = {
            name: self._waived_ms[name] for name in retained & set(self._waived_ms)
        }
        self._ended &= retained

    def commit(self) -> None:
        """Apply a write that took effect."""
        if self.pending is not None:
            self.confirmed = self.pending
            self._confirmed_outright = self._pending_outright
            self._confirmed_as_of_ms = self._pending_as_of_ms
        self.pending = None

    def roll_back(self) -> None:
        """Discard a write that never takes effect."""
        self.pending = None

    def named(self) -> tuple[InstanceId, ...]:
        """Return all routers whose acknowledgement may count, now or soon."""
        names = self.confirmed + (self.pending or ()) + self.candidates
        return tuple(dict.fromkeys(names))

    def growth_until_ms(self, store_ms: float) -> float:
        """Return the time on the store's clock until which limits have grown."""
        return min(self._growth_until_ms(*row, store_ms) for row in self._rows())

    def limit_tokens(self, account: ClientAccountName) -> float:
        """Return the limit that the witnesses know, for every possible row.

        Infinity if there are no witnesses, so that the row alone binds.
        """
        return min(self._limit_tokens(*row, account) for row in self._rows())

    def _rows(self) -> list[tuple[tuple[InstanceId, ...], float]]:
        """Return the witnesses and the time of each row that a successor may read."""
        rows = [(self.confirmed, self._confirmed_as_of_ms)]
        if self.pending is not None:
            rows.append((self.pending, self._pending_as_of_ms))
        return rows

    def _growth_until_ms(
        self, names: tuple[InstanceId, ...], as_of_ms: float, store_ms: float
    ) -> float:
        if not names:
            return store_ms
        last_ms = [self._received_by(name)[0] for name in names]
        until_ms = reached_by(majority(len(names)), last_ms) + GRACE_MS
        for name, received_ms in zip(names, last_ms):
            bound_ms = received_ms + GRACE_MS
            if self._has_waived(name, as_of_ms):
                bound_ms = max(bound_ms, self._waived_ms[name] + WAIVER_MS)
            until_ms = min(until_ms, bound_ms)
        return min(store_ms, until_ms)

    def _limit_tokens(
        self,
        names: tuple[InstanceId, ...],
        as_of_ms: float,
        account: ClientAccountName,
    ) -> float:
        if not names:
            return math.inf
        limits = [self._limit_known_to(name, account) for name in names]
        waited_for = [
            limit
            for name, limit in zip(names, limits)
            if not self._has_waived(name, as_of_ms)
        ]
        return min([reached_by(majority(len(names)), limits), *waited_for])

    def _has_waived(self, name: InstanceId, as_of_ms: float) -> bool:
        """Return whether a witness waived after a row was written.

        A row's time is rounded to a millisecond.
        """
        return self._waived_ms.get(name, -math.inf) >= as_of_ms + 1.0

    def _received_by(self, name: InstanceId) -> tuple[float, list[Statement]]:
        """Return the time of the last acknowledged statement, and the possible ones.

        The witness received the acknowledged statement and possibly any later one. One
        that ended does not limit the use.
        """
        if name in self._ended:
            return math.inf, [_UNBOUNDED]
        sequence = self._acknowledged.get(name, 0)
        possible = [sent for sent in self._sent if sent.sequence >= sequence]
        if not possible or possible[0].sequence != sequence:
            return 0.0, []
        return possible[0].clock_ms, possible

    def _limit_known_to(self, name: InstanceId, account: ClientAccountName) -> float:
        possible = self._received_by(name)[1]
        if not possible:
            return -math.inf
        return min(statement.limit_tokens(account) for statement in possible)


def majority(count: int) -> int:
    """Return the smallest number that is more than half."""
    return count // 2 + 1


def reached_by(count: int, values: list[float]) -> float:
    """Return the largest value that a number of them reach."""
    return sorted(values, reverse=True)[count - 1]
