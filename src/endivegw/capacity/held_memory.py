"""Bound what a process holds in memory for all its peers together."""

from __future__ import annotations

import heapq
import math
from collections import defaultdict
from itertools import count
from typing import Callable, Protocol

from attrs import define, field

from endivegw.types import ClientAccountName

__all__ = ["HeldMemory", "HeldShare", "Holder"]

#: Size up to which a share may use all of the memory. Small requests then find room
#: beside large ones that can no longer be given up.
_SMALL_BYTES = 65536

#: Part of the memory that larger shares may use.
_LARGE_PART = 0.75

#: Part of a limit to which holders give way at once, so that they are compared rarely.
_LOW_PART = 0.9

#: Copies of the largest request that must fit: as received and as sent.
_LARGEST_COPIES = 2

_change_numbers = count()


class Holder(Protocol):
    """The owner of a share, which can give it up as long as nothing is lost by that."""

    @property
    def releasable_bytes(self) -> int:
        """Return what :meth:`give_up` would release now."""

    def give_up(self) -> None:
        """Release the share; its request is refused and has not run."""


@define(eq=False)
class HeldShare:
    """Count what is held for one connection.

    :ivar holder: owner of the share; None if it cannot be given up.
    :ivar account: client account of the request; None until it is known.
    :ivar held_bytes: size of what is held.
    :ivar last_change: number of the latest growth, in the order of all shares.
    :ivar closed: whether nothing is counted any more.
    """

    memory: HeldMemory
    holder: Holder | None = None
    account: ClientAccountName | None = None
    held_bytes: int = 0
    last_change: int = 0
    closed: bool = False

    def add(self, size_bytes: int) -> None:
        """Count what is held in addition; others, or this one, may have to give way."""
        if self.closed:
            return
        self.held_bytes += size_bytes
        self.last_change = next(_change_numbers)
        self.memory.add(self, size_bytes)

    def release(self, size_bytes: int) -> None:
        """Count what is not held any more."""
        if self.closed:
            return
        self.held_bytes -= size_bytes
        self.memory.total_bytes -= size_bytes

    def close(self) -> None:
        """Release all, and leave the memory."""
        self.release(self.held_bytes)
        self.closed = True
        # The holder refers to the connection, and that to this share.
        self.holder = None
        self.memory.remove(self)


@define
class HeldMemory:
    """Keep the sum of all shares within a limit.

    Where there is too little room, the client account that holds the most gives way
    first, with the largest of its requests that have not run. Of equal ones, that which
    has not grown for the longest time is the least likely to be completed.

    :ivar max_bytes: limit of the sum as stated.
    :ivar largest_bytes: largest request that callers may send. It is taken even if the
        limit is smaller.
    :ivar total_bytes: size of all shares.
    :ivar given_up: number of shares that were given up.
    :ivar on_full: called if the shares that can be given up are not enough.
    """

    max_bytes: float = math.inf
    largest_bytes: int = 0
    total_bytes: int = 0
    given_up: int = 0
    on_full: Callable[[], None] = lambda: None
    _shares: set[HeldShare] = field(factory=set)

    @property
    def limit_bytes(self) -> float:
        """Return the limit in force."""
        needed_bytes = _LARGEST_COPIES * self.largest_bytes / _LARGE_PART
        return max(self.max_bytes, needed_bytes)

    @property
    def is_exceeded(self) -> bool:
        """Return whether more than the limit is held."""
        return self.total_bytes > self.limit_bytes

    def enter(self, share: HeldShare) -> None:
        """Compare a share with others from now on until it is closed."""
        self._shares.add(share)

    def remove(self, share: HeldShare) -> None:
        """Forget a share."""
        self._shares.discard(share)

    def add(self, share: HeldShare, size_bytes: int) -> None:
        """Count the growth of a share, and make room for it."""
        self.total_bytes += size_bytes
        limit_bytes = self.limit_bytes
        if share.held_bytes > _SMALL_BYTES:
            limit_bytes *= _LARGE_PART
        if self.total_bytes <= limit_bytes:
            return
        self._make_room(limit_bytes * _LOW_PART)
        if self.is_exceeded:
            self.on_full()

    def largest_account(self) -> ClientAccountName | None:
        """Return the account that holds the most; None if its requests have none."""
        totals = self._totals()
        return max(totals, key=lambda name: totals[name], default=None)

    def _totals(self) -> dict[ClientAccountName | None, int]:
        totals: dict[ClientAccountName | None, int] = defaultdict(int)
        for share in self._shares:
            totals[share.account] += share.held_bytes
        return totals

    def _make_room(self, target_bytes: float) -> None:
        """Let holders give way until the sum is at most the target."""
        totals = self._totals()
        releasable: dict[ClientAccountName | None, list[HeldShare]] = defaultdict(list)
        for share in self._shares:
            if share.holder is not None and share.holder.releasable_bytes:
                releasable[share.account].append(share)
        for shares in releasable.values():
            shares.sort(key=_loss_order)
        accounts = [(-totals[name], next(_change_numbers), name) for name in releasable]
        heapq.heapify(accounts)
        while accounts and self.total_bytes > target_bytes:
            total, _, name = heapq.heappop(accounts)
            before_bytes = self.total_bytes
            share = releasable[name].pop()
            assert share.holder is not None
            share.holder.give_up()
            self.given_up += 1
            if releasable[name]:
                rest = total + before_bytes - self.total_bytes
                heapq.heappush(accounts, (rest, next(_change_numbers), name))


def _loss_order(share: HeldShare) -> tuple[int, int]:
    """Return the key by which the share that gives way first comes last."""
    assert share.holder is not None
    return share.holder.releasable_bytes, -share.last_change
