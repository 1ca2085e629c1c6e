"""What one router holds of one budget: grants, reservations, tokens in transit.

Pure state: each token of a grant is in exactly one place (free, reserved,
consumed and not yet settled, in a write to the table, or lent to a peer).
"""

from __future__ import annotations

from attrs import define, field, frozen

from endivegw.budgets.demand import DemandEstimate
from endivegw.budgets.sizing import GrantState
from endivegw.exceptions import InvariantError
from endivegw.types import AttemptId, BudgetKey, GrantId

__all__ = ["BudgetWallet", "GrantChange", "HeldGrant", "Reservation"]


@frozen
class Reservation:
    """Hold tokens for one attempt.

    :param reservation_id: also the id of the attempt at its target.
    :param grant_id: the grant that the sidecar counts the attempt under.
    :param tokens: the sidecar ends generation here.
    """

    reservation_id: AttemptId
    grant_id: GrantId
    budget: BudgetKey
    tokens: int


@frozen
class GrantChange:
    """Hold what one write to the table does to one grant.

    :param opens: the grant's row does not exist before.
    :param closes_version: the row's version where the write deletes it, else
        None.
    """

    grant_id: GrantId
    budget: BudgetKey
    opens: bool = False
    closes_version: int | None = None
    draw_tokens: int = 0
    settle_tokens: int = 0
    give_back_tokens: int = 0


@define
class HeldGrant:
    """Hold the tokens of one grant that are with this router.

    :ivar owned: drawn by this router; False where a peer lent the tokens.
    :ivar version: version of the row as far as this router wrote it.
    :ivar lent_tokens: handed to peers; they settle them themselves.
    :ivar sealed: recovery took the grant over; nothing of it may be spent.
    """

    grant_id: GrantId
    owned: bool
    opened_at_s: float
    version: int = 0
    free_tokens: int = 0
    reserved_tokens: int = 0
    consumed_tokens: int = 0
    transit_tokens: int = 0
    lent_tokens: int = 0
    sealed: bool = False

    @property
    def is_empty(self) -> bool:
        """Return whether none of its tokens are with this router."""
        held = self.free_tokens + self.reserved_tokens
        return held + self.consumed_tokens + self.transit_tokens == 0


@define
class BudgetWallet:
    """Hold one router's part of one budget.

    :ivar known_available_tokens: what the table had left when it was last
        read, None before.
    :ivar read_at_s: when that was.
    :ivar counted: whether the budget's row counts this router as drawing.
    :ivar unbilled_tokens: finished, and on no request's line yet.
    """

    budget: BudgetKey
    reserve_s: float = 60.0
    grants: dict[GrantId, HeldGrant] = field(factory=dict)
    reservations: dict[AttemptId, Reservation] = field(factory=dict)
    demand: DemandEstimate = field(factory=DemandEstimate)
    wanted_tokens: int = 0
    smallest_wanted_tokens: int = 0
    known_available_tokens: int | None = None
    read_at_s: float = 0.0
    counted: bool = False
    unbilled_tokens: int = 0
    used_at_s: float = 0.0

    @property
    def free_tokens(self) -> int:
        """Return what may be reserved."""
        return sum(grant.free_tokens for grant in self.grants.values())

    @property
    def reserved_tokens(self) -> int:
        """Return what attempts in flight hold."""
        return sum(grant.reserved_tokens for grant in self.grants.values())

    @property
    def consumed_tokens(self) -> int:
        """Return what is consumed and not yet on its way to the table."""
        return sum(grant.consumed_tokens for grant in self.grants.values())

    def state(self, now_s: float) -> GrantState:
        """Return what sizes are decided on."""
        return GrantState(
            free_tokens=self.free_tokens,
            reserved_tokens=self.reserved_tokens,
            wanted_tokens=self.wanted_tokens,
            smallest_wanted_tokens=self.smallest_wanted_tokens,
            rate_tokens_per_s=self.demand.rate_tokens_per_s(now_s),
            largest_bound_tokens=self.demand.bound_tokens(now_s),
            reserve_s=self.reserve_s,
        )

    def take(
        self, reservation_id: AttemptId, bound_tokens: int, now_s: float
    ) -> Reservation | None:
        """Reserve from the oldest grant that has enough, None where none has.

        The oldest goes first so that grants end and their rows are closed.
        """
        for grant in self.grants.values():
            if grant.sealed or grant.free_tokens < bound_tokens:
                continue
            grant.free_tokens -= bound_tokens
            grant.reserved_tokens += bound_tokens
            reservation = Reservation(
                reservation_id, grant.grant_id, self.budget, bound_tokens
            )
            self.reservations[reservation_id] = reservation
            self.used_at_s = now_s
            return reservation
        return None

    def give(
        self, reservation: Reservation, used_tokens: int, now_s: float
    ) -> int | None:
        """End a reservation; return how many of its tokens are unsettled here.

        :returns: ``used_tokens``, or 0 where the grant is sealed, since
            recovery settles those; None where the reservation ended before.
        :raises InvariantError: where more was used than reserved.
        """
        if used_tokens > reservation.tokens:
            raise InvariantError(
                f"attempt {reservation.reservation_id} used {used_tokens} tokens of "
                f"a reservation of {reservation.tokens}"
            )
        if self.reservations.pop(reservation.reservation_id, None) is None:
            return None
        grant = self.grants[reservation.grant_id]
        grant.reserved_tokens -= reservation.tokens
        self.demand.consumed(used_tokens, now_s)
        if grant.sealed:
            self._drop_if_empty(grant)
            return 0
        grant.free_tokens += reservation.tokens - used_tokens
        grant.consumed_tokens += used_tokens
        return used_tokens

    def seal(self, grant_id: GrantId) -> int:
        """Stop spending a grant that recovery took over.

        :returns: tokens consumed under it that recovery settles instead.
        """
        grant = self.grants.get(grant_id)
        if grant is None or grant.sealed:
            return 0
        left_tokens = grant.consumed_tokens
        grant.sealed = True
        grant.free_tokens = 0
        grant.consumed_tokens = 0
        grant.lent_tokens = 0
        self._drop_if_empty(grant)
        return left_tokens

    def lend(self, wanted_tokens: int, keep_tokens: int) -> tuple[GrantId, int] | None:
        """Debit tokens for a peer, None where there are none to spare.

        They come from the one grant with the most free tokens, since a
        reservation cannot be split over two grants.

        :param keep_tokens: what the own demand of the next moments needs.
        """
        spare_tokens = self.free_tokens - keep_tokens
        largest = max(
            (grant for grant in self.grants.values() if not grant.sealed),
            key=lambda grant: grant.free_tokens,
            default=None,
        )
        if largest is None:
            return None
        tokens = min(wanted_tokens, spare_tokens, largest.free_tokens)
        if tokens <= 0:
            return None
        largest.free_tokens -= tokens
        largest.lent_tokens += tokens
        return largest.grant_id, tokens

    def borrow(self, grant_id: GrantId, tokens: int, now_s: float) -> None:
        """Credit tokens that a peer has debited under its grant."""
        grant = self.grants.get(grant_id)
        if grant is None:
            grant = HeldGrant(grant_id, owned=False, opened_at_s=now_s)
            self.grants[grant_id] = grant
        if grant.sealed:
            return
        grant.free_tokens += tokens

    def active_grant(self, now_s: float, rotate_s: float) -> HeldGrant | None:
        """Return the own grant that further draws go to, None for a new one."""
        young = [
            grant
            for grant in self.grants.values()
            if grant.owned
            and not grant.sealed
            and grant.version
            and not grant.lent_tokens
            and now_s - grant.opened_at_s < rotate_s
        ]
        return young[-1] if young else None

    def apply_void(self, change: GrantChange) -> int:
        """Undo what a write that did not take effect has moved out.

        :returns: consumed tokens that now belong to recovery.
        """
        grant = self.grants.get(change.grant_id)
        if grant is None or change.opens:
            return 0
        grant.transit_tokens -= change.settle_tokens + change.give_back_tokens
        if grant.sealed:
            self._drop_if_empty(grant)
            return change.settle_tokens
        grant.consumed_tokens += change.settle_tokens
        grant.free_tokens += change.give_back_tokens
        return 0

    def apply_commit(self, change: GrantChange, now_s: float) -> None:
        """Take in that a write has taken effect."""
        if change.opens:
            grant = HeldGrant(change.grant_id, owned=True, opened_at_s=now_s)
            self.grants[change.grant_id] = grant
        else:
            grant = self.grants[change.grant_id]
        grant.version += 1
        grant.transit_tokens -= change.settle_tokens + change.give_back_tokens
        if not grant.sealed:
            grant.free_tokens += change.draw_tokens
        if change.closes_version is not None:
            del self.grants[change.grant_id]
        elif not grant.owned or grant.sealed:
            self._drop_if_empty(grant)

    def move_out(
        self, grant: HeldGrant, settle_tokens: int, give_back_tokens: int
    ) -> GrantChange:
        """Debit what a write settles and gives back, before the write."""
        if give_back_tokens > grant.free_tokens:
            raise InvariantError(
                f"grant {grant.grant_id}: {give_back_tokens} tokens to give back "
                f"and only {grant.free_tokens} free"
            )
        if settle_tokens > grant.consumed_tokens:
            raise InvariantError(
                f"grant {grant.grant_id}: {settle_tokens} tokens to settle and "
                f"only {grant.consumed_tokens} consumed"
            )
        grant.consumed_tokens -= settle_tokens
        grant.free_tokens -= give_back_tokens
        grant.transit_tokens += settle_tokens + give_back_tokens
        return GrantChange(
            grant.grant_id,
            self.budget,
            settle_tokens=settle_tokens,
            give_back_tokens=give_back_tokens,
        )

    def _drop_if_empty(self, grant: HeldGrant) -> None:
        if grant.is_empty:
            self.grants.pop(grant.grant_id, None)
