"""Other routers that can say what a router may have used when it died.

The limit of a router's use grows with time, so that it can go on without the store.
When it is killed, its successor reads the row seconds later and would have to count
all that the limit grew meanwhile, although the router was dead for most of it: in a
kill with a restart after 3.8 s that was a twentieth of a large account's budget.

So a router also states its limits to a few others, its witnesses, ten times a second,
whenever a request needs more and whenever a peer lent it tokens. It uses no more than
a majority of the witnesses has heard. The successor asks them: any group of them that
is large enough to overlap each majority knows of all that was used, to a tenth of a
second. While too few of them hear it, the router says in its row that the row's limits
hold outright, and its successor counts these in full.
"""

from __future__ import annotations

import math
from collections import deque
from typing import Mapping

from attrs import define, field, frozen

from endivegw.types import ClientAccountName, InstanceId

__all__ = ["GRACE_MS", "Statement", "Witnesses", "Word", "word_of"]

#: How far limits grow beyond the last acknowledged time: two statements and
#: their answers may be lost before growth pauses.
GRACE_MS = 500.0

#: Statements that are kept for a witness that is slow to acknowledge them: half a
#: second's worth of a busy router, which states its limits for single requests too.
#: A witness that is further behind counts as having heard nothing.
_MOST_SAID = 64


@frozen
class Statement:
    """Hold what a router says of its limits.

    :param sequence: grows with each statement of one process.
    :param clock_ms: the store's clock as the sender knew it.
    :param limits: the most that it will have used of an account until its next
        statement. An account that is not named is bound by the row alone.
    :param final: whether it uses nothing more; the limits are then its exact use.
    """

    sequence: int
    clock_ms: float
    limits: Mapping[ClientAccountName, int] = field(factory=dict)
    final: bool = False

    def limit_tokens(self, account: ClientAccountName) -> float:
        """Return the limit of an account, infinity where it is not named.

        Where nothing was ever heard, nothing was used on the strength of it.
        """
        if self.sequence == 0:
            return -math.inf
        return self.limits.get(account, math.inf)


@define
class Witnesses:
    """Hold which routers are witnesses, what they were told, and what they heard.

    :ivar confirmed: those that the row in the store names.
    :ivar pending: those that a write without an answer names; None without one.
    """

    confirmed: tuple[InstanceId, ...] = ()
    pending: tuple[InstanceId, ...] | None = None
    _confirmed_outright: bool = False
    _pending_outright: bool = False
    _said: deque[Statement] = field(factory=lambda: deque(maxlen=_MOST_SAID))
    _heard: dict[InstanceId, int] = field(factory=dict)

    def say(self, statement: Statement) -> None:
        """Note a statement that goes out now."""
        self._said.append(statement)

    def acknowledge(self, witness: InstanceId, sequence: int) -> None:
        """Take in that a router heard a statement."""
        if sequence > self._heard.get(witness, 0):
            self._heard[witness] = sequence

    @property
    def outright(self) -> bool:
        """Return whether the limits of each row that may be there hold outright."""
        if self.pending is None:
            return self._confirmed_outright
        return self._confirmed_outright and self._pending_outright

    def hear(self, store_ms: float) -> bool:
        """Return whether a majority heard a statement within the grace."""
        return self._reach_ms(self.confirmed, store_ms) >= store_ms

    def plan(self, witnesses: tuple[InstanceId, ...], outright: bool) -> None:
        """Note whom the next write names, and what it says of its limits."""
        self.pending = witnesses
        self._pending_outright = outright
        kept = {*self.confirmed, *witnesses}
        self._heard = {name: self._heard[name] for name in kept & set(self._heard)}

    def commit(self) -> None:
        """Note that the write took effect."""
        if self.pending is not None:
            self.confirmed = self.pending
            self._confirmed_outright = self._pending_outright
        self.pending = None

    def void(self) -> None:
        """Note that the write never takes effect."""
        self.pending = None

    def named(self) -> tuple[InstanceId, ...]:
        """Return all routers whose word may count."""
        return tuple(dict.fromkeys(self.confirmed + (self.pending or ())))

    def reach_ms(self, store_ms: float) -> float:
        """Return until when limits have grown, on the store's clock."""
        return min(self._reach_ms(names, store_ms) for names in self._sets())

    def limit_tokens(self, account: ClientAccountName) -> float:
        """Return the most that a majority heard, for every row that may be there.

        Infinity where there are no witnesses: then the row alone binds.
        """
        return min(self._limit_tokens(names, account) for names in self._sets())

    def _sets(self) -> list[tuple[InstanceId, ...]]:
        """Return the witnesses of each row that a successor may find."""
        if self.pending is None:
            return [self.confirmed]
        return [self.confirmed, self.pending]

    def _reach_ms(self, names: tuple[InstanceId, ...], store_ms: float) -> float:
        if not names:
            return store_ms
        last_ms = [self._heard_of(name)[0] for name in names]
        return min(store_ms, _of_majority(last_ms) + GRACE_MS)

    def _limit_tokens(
        self, names: tuple[InstanceId, ...], account: ClientAccountName
    ) -> float:
        if not names:
            return math.inf
        limits = [self._known_to(name, account) for name in names]
        return _of_majority(limits)

    def _heard_of(self, name: InstanceId) -> tuple[float, list[Statement]]:
        """Return the time of what a witness heard, and what it may know now.

        It heard the acknowledged statement or any later one.
        """
        heard = self._heard.get(name, 0)
        since = [said for said in self._said if said.sequence >= heard]
        if not since or since[0].sequence != heard:
            return 0.0, []
        return since[0].clock_ms, since

    def _known_to(self, name: InstanceId, account: ClientAccountName) -> float:
        since = self._heard_of(name)[1]
        if not since:
            return -math.inf
        return min(said.limit_tokens(account) for said in since)


@frozen
class Word:
    """Hold what the witnesses of a dead router say together.

    :param lived_ms: until when it may have lived, on the store's clock.
    :param statements: what those that answered heard last; empty where too few
        answered, so that nothing but the row is known.
    """

    lived_ms: float
    statements: tuple[Statement, ...] = ()

    def used_tokens(
        self, account: ClientAccountName, outright_tokens: float, most_tokens: int
    ) -> int:
        """Return the most that the dead router can have used of an account.

        :param outright_tokens: what its row let it use whoever heard it; minus
            infinity where the witnesses had to hear first.
        :param most_tokens: what the row's limit had grown to when it died.
        """
        for statement in self.statements:
            if statement.final and account in statement.limits:
                return statement.limits[account]
        if not self.statements:
            return most_tokens
        heard = max(said.limit_tokens(account) for said in self.statements)
        known = max(outright_tokens, heard)
        return most_tokens if known == -math.inf else int(min(most_tokens, known))


def word_of(
    witnesses: tuple[InstanceId, ...],
    heard: Mapping[InstanceId, Statement],
    ended_ms: float,
) -> Word:
    """Return what witnesses say of a dead router.

    :param heard: the last statement of each witness that answered.
    :param ended_ms: a time on the store's clock at which it was dead for certain.
    """
    statements = tuple(heard[name] for name in witnesses if name in heard)
    if any(statement.final for statement in statements):
        return Word(ended_ms, statements)
    needed = len(witnesses) - _majority(len(witnesses)) + 1
    if not witnesses or len(statements) < needed:
        return Word(ended_ms)
    last_ms = max(statement.clock_ms for statement in statements)
    return Word(min(ended_ms, last_ms + GRACE_MS), statements)


def _majority(count: int) -> int:
    return count // 2 + 1


def _of_majority(values: list[float]) -> float:
    """Return the largest value that a majority reaches."""
    ranked = sorted(values, reverse=True)
    return ranked[_majority(len(ranked)) - 1]
