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
    "Witnesses",
    "WitnessReport",
    "majority",
    "witness_report",
]

#: How far limits grow beyond the last acknowledged time. Two statements and their
#: acknowledgements may be lost before growth pauses.
GRACE_MS = 500.0

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
    """

    sequence: int
    clock_ms: float
    limits: Mapping[ClientAccountName, int] = field(factory=dict)
    final: bool = False

    def limit_tokens(self, account: ClientAccountName) -> float:
        """Return the limit of an account, infinity if it is not named.

        Minus infinity if no statement was received, since nothing was then used on the
        basis of one.
        """
        if self.sequence == 0:
            return -math.inf
        return self.limits.get(account, math.inf)


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
    _sent: deque[Statement] = field(factory=lambda: deque(maxlen=_MAX_SENT_STATEMENTS))
    _acknowledged: dict[InstanceId, int] = field(factory=dict)
    #: Sequence of the last statement sent before a witness was known.
    _known_since: dict[InstanceId, int] = field(factory=dict)
    #: Witnesses that ended. They answer no successor, so nobody relies on what they
    #: acknowledged.
    _ended: set[InstanceId] = field(factory=set)

    def record_sent(self, statement: Statement) -> None:
        """Record a statement that is being sent."""
        self._sent.append(statement)

    def acknowledge(self, witness: InstanceId, sequence: int) -> None:
        """Record that a router acknowledged a statement."""
        if sequence > self._acknowledged.get(witness, 0):
            self._acknowledged[witness] = sequence

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

    def has_all(self, store_ms: float) -> bool:
        """Return whether all witnesses acknowledged within the grace period."""
        return self._growth_until_ms(self.confirmed, store_ms) >= store_ms

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

    def plan(self, witnesses: tuple[InstanceId, ...], outright: bool) -> None:
        """Record the witnesses that the next write names, and its ``outright`` flag."""
        self.pending = witnesses
        self._pending_outright = outright
        retained = {*self.confirmed, *witnesses, *self.candidates}
        self._acknowledged = {
            name: self._acknowledged[name]
            for name in retained & set(self._acknowledged)
        }
        self._known_since = {
            name: self._known_since[name] for name in retained & set(self._known_since)
        }
        self._ended &= retained

    def commit(self) -> None:
        """Apply a write that took effect."""
        if self.pending is not None:
            self.confirmed = self.pending
            self._confirmed_outright = self._pending_outright
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
        return min(
            self._growth_until_ms(names, store_ms) for names in self._witness_sets()
        )

    def limit_tokens(self, account: ClientAccountName) -> float:
        """Return the limit that all witnesses know, for every possible row.

        Infinity if there are no witnesses, so that the row alone binds.
        """
        return min(self._limit_tokens(names, account) for names in self._witness_sets())

    def _witness_sets(self) -> list[tuple[InstanceId, ...]]:
        """Return the witnesses of each row that a successor may read."""
        if self.pending is None:
            return [self.confirmed]
        return [self.confirmed, self.pending]

    def _growth_until_ms(self, names: tuple[InstanceId, ...], store_ms: float) -> float:
        if not names:
            return store_ms
        last_ms = [self._received_by(name)[0] for name in names]
        return min(store_ms, min(last_ms) + GRACE_MS)

    def _limit_tokens(
        self, names: tuple[InstanceId, ...], account: ClientAccountName
    ) -> float:
        if not names:
            return math.inf
        return min(self._limit_known_to(name, account) for name in names)

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


@frozen
class WitnessReport:
    """Combined report of the witnesses of a dead router.

    :param alive_until_ms: latest time, on the store's clock, at which it may have been
        alive.
    :param statements: the last statement received by each witness that answered; empty
        if too few answered, so that only the row is known.
    :param overlap: how many of the witnesses that answered had at least acknowledged
        each use.
    """

    alive_until_ms: float
    statements: tuple[Statement, ...] = ()
    overlap: int = 1

    def used_tokens(
        self,
        account: ClientAccountName,
        outright_tokens: float,
        row_limit_tokens: int,
        as_of_ms: float = -math.inf,
        recorded_tokens: float = -math.inf,
    ) -> int:
        """Return the most that the dead router can have used of an account.

        :param outright_tokens: what its row allowed regardless of acknowledgements;
            minus infinity if witnesses had to acknowledge first.
        :param row_limit_tokens: what the row's limit had grown to when it died.
        :param as_of_ms: time of the row on the store's clock.
        :param recorded_tokens: the row's limit at that time.
        """
        for statement in self.statements:
            if statement.final and account in statement.limits:
                return statement.limits[account]
        if not self.statements:
            return row_limit_tokens
        limits = []
        for statement in self.statements:
            limit = statement.limit_tokens(account)
            # A row has whole milliseconds. What was used before it was written need
            # not be covered by what its witnesses received before.
            is_older = statement.clock_ms < as_of_ms + 1.0
            limits.append(max(limit, recorded_tokens) if is_older else limit)
        usable_tokens = max(outright_tokens, _reached_by(self.overlap, limits))
        return (
            row_limit_tokens
            if usable_tokens == -math.inf
            else int(min(row_limit_tokens, usable_tokens))
        )


def witness_report(
    witnesses: tuple[InstanceId, ...],
    received: Mapping[InstanceId, Statement],
    ended_ms: float,
    needed: int | None = None,
) -> WitnessReport:
    """Combine the answers of the witnesses of a dead router.

    :param received: the last statement of each witness that answered.
    :param ended_ms: a time on the store's clock at which it was certainly dead.
    :param needed: how many witnesses had to acknowledge each use; by default a
        majority.
    """
    statements = tuple(received[name] for name in witnesses if name in received)
    if any(statement.final for statement in statements):
        return WitnessReport(ended_ms, statements)
    if needed is None:
        needed = majority(len(witnesses))
    overlap = min(needed, len(witnesses)) - (len(witnesses) - len(statements))
    if not witnesses or overlap < 1:
        return WitnessReport(ended_ms)
    last_ms = _reached_by(overlap, [statement.clock_ms for statement in statements])
    return WitnessReport(min(ended_ms, last_ms + GRACE_MS), statements, overlap)


def majority(count: int) -> int:
    """Return the smallest number that is more than half."""
    return count // 2 + 1


def _reached_by(count: int, values: list[float]) -> float:
    """Return the largest value that a number of them reach."""
    return sorted(values, reverse=True)[count - 1]
