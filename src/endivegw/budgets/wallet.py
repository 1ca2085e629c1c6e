"""Track the grants, reservations and in-transit tokens of one budget at a router.

The classes perform no I/O. Each token of a grant is in exactly one state: free,
reserved, consumed and not yet settled, in a write to the table, or lent to a peer.
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
    """Represent the tokens reserved for one attempt.

    :param reservation_id: also the id of the attempt at its target.
    :param grant_id: the grant that the sidecar charges the attempt to.
    :param tokens: the sidecar stops generation at this number.
    """

    reservation_id: AttemptId
    grant_id: GrantId
    budget: BudgetKey
    tokens: int


@frozen
class GrantChange:
    """Represent the effect of one table write on one grant.

    :param opens: whether the write creates the grant's row.
    :param closes_version: the row's version if the write deletes it, else None.
    """

    grant_id: GrantId
    budget: BudgetKey
    opens: bool = False
    closes_version: int | None = None
    draw_tokens: int = 0
    settle_tokens: int = 0
    return_tokens: int = 0


@define
class HeldGrant:
    """Hold the tokens of one grant at this router.

    :ivar owned: whether this router drew the grant; False if a peer lent the tokens.
    :ivar version: version of the grant's row as far as this router wrote it.
    :ivar lent_tokens: transferred to peers, which settle them themselves.
    :ivar sealed: whether recovery took the grant over, so that none of it may be spent.
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
        """Return whether none of its tokens are held by this router."""
        held = self.free_tokens + self.reserved_tokens
        return held + self.consumed_tokens + self.transit_tokens == 0


@define
class BudgetWallet:
    """Hold the tokens of one budget at one router.

    :ivar known_available_tokens: tokens that the table had available when it was last
        read, or None before the first read.
    :ivar read_at_s: when the budget's row was last read.
    :ivar counted_as_drawer: whether the budget's row counts this router as a drawer.
    :ivar unbilled_tokens: charged by finished attempts but not yet on a bill line.
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
    counted_as_drawer: bool = False
    unbilled_tokens: int = 0
    used_at_s: float = 0.0

    @property
    def free_tokens(self) -> int:
        """Return how many tokens may be reserved."""
        return sum(grant.free_tokens for grant in self.grants.values())

    @property
    def reserved_tokens(self) -> int:
        """Return how many tokens are reserved by running attempts."""
        return sum(grant.reserved_tokens for grant in self.grants.values())

    @property
    def consumed_tokens(self) -> int:
        """Return the consumed tokens that are not yet in a write to the table."""
        return sum(grant.consumed_tokens for grant in self.grants.values())

    def state(self, now_s: float) -> GrantState:
        """Return the state on which draw sizes are based."""
        return GrantState(
            free_tokens=self.free_tokens,
            reserved_tokens=self.reserved_tokens,
            wanted_tokens=self.wanted_tokens,
            smallest_wanted_tokens=self.smallest_wanted_tokens,
            rate_tokens_per_s=self.demand.rate_tokens_per_s(now_s),
            largest_bound_tokens=self.demand.bound_tokens(now_s),
            reserve_s=self.reserve_s,
        )

    def reserve(
        self, reservation_id: AttemptId, bound_tokens: int, now_s: float
    ) -> Reservation | None:
        """Reserve from the oldest grant with enough free tokens; None if there is none.

        The oldest grant is used first so that grants become empty and are closed.
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

    def end_reservation(
        self, reservation: Reservation, used_tokens: int, now_s: float
    ) -> int | None:
        """End a reservation and return how many of its tokens this router settles.

        :returns: ``used_tokens``, or 0 if the grant is sealed, since recovery settles
            those; None if the reservation had ended before.
        :raises InvariantError: if more was used than reserved.
        """
        if used_tokens > reservation.tokens:
            raise InvariantError(
                f"attempt {reservation.reservation_id}: usage of {used_tokens} tokens "
                f"exceeds its reservation of {reservation.tokens}"
            )
        if self.reservations.pop(reservation.reservation_id, None) is None:
            return None
        grant = self.grants[reservation.grant_id]
        grant.reserved_tokens -= reservation.tokens
        self.demand.record_consumed(used_tokens, now_s)
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
        recovered_tokens = grant.consumed_tokens
        grant.sealed = True
        grant.free_tokens = 0
        grant.consumed_tokens = 0
        grant.lent_tokens = 0
        self._drop_if_empty(grant)
        return recovered_tokens

    def lend(
        self, wanted_tokens: int, retained_tokens: int
    ) -> tuple[GrantId, int] | None:
        """Debit tokens for a peer; None if there is no surplus.

        All tokens come from the grant with the most free tokens, since a reservation
        cannot be split over two grants.

        :param retained_tokens: free tokens to keep for this router's near-term demand.
        """
        surplus_tokens = self.free_tokens - retained_tokens
        largest = max(
            (grant for grant in self.grants.values() if not grant.sealed),
            key=lambda grant: grant.free_tokens,
            default=None,
        )
        if largest is None:
            return None
        tokens = min(wanted_tokens, surplus_tokens, largest.free_tokens)
        if tokens <= 0:
            return None
        largest.free_tokens -= tokens
        largest.lent_tokens += tokens
        return largest.grant_id, tokens

    def borrow(self, grant_id: GrantId, tokens: int, now_s: float) -> None:
        """Credit tokens that a peer has debited from its grant."""
        grant = self.grants.get(grant_id)
        if grant is None:
            grant = HeldGrant(grant_id, owned=False, opened_at_s=now_s)
            self.grants[grant_id] = grant
        if grant.sealed:
            return
        grant.free_tokens += tokens

    def active_grant(self, now_s: float, rotate_s: float) -> HeldGrant | None:
        """Return this router's grant that takes further draws, or None for a new one.

        :param rotate_s: age from which a grant takes no further draws.
        """
        open_grants = [
            grant
            for grant in self.grants.values()
            if grant.owned
            and not grant.sealed
            and grant.version
            and not grant.lent_tokens
            and now_s - grant.opened_at_s < rotate_s
        ]
        return open_grants[-1] if open_grants else None

    def roll_back(self, change: GrantChange) -> int:
        """Restore the tokens that a write without effect had debited.

        :returns: consumed tokens that recovery settles instead.
        """
        grant = self.grants.get(change.grant_id)
        if grant is None or change.opens:
            return 0
        grant.transit_tokens -= change.settle_tokens + change.return_tokens
        if grant.sealed:
            self._drop_if_empty(grant)
            return change.settle_tokens
        grant.consumed_tokens += change.settle_tokens
        grant.free_tokens += change.return_tokens
        return 0

    def apply_commit(self, change: GrantChange, now_s: float) -> None:
        """Apply a write that has taken effect."""
        if change.opens:
            grant = HeldGrant(change.grant_id, owned=True, opened_at_s=now_s)
            self.grants[change.grant_id] = grant
        else:
            grant = self.grants[change.grant_id]
        grant.version += 1
        grant.transit_tokens -= change.settle_tokens + change.return_tokens
        if not grant.sealed:
            grant.free_tokens += change.draw_tokens
        if change.closes_version is not None:
            del self.grants[change.grant_id]
        elif not grant.owned or grant.sealed:
            self._drop_if_empty(grant)

    def debit(
        self, grant: HeldGrant, settle_tokens: int, return_tokens: int
    ) -> GrantChange:
        """Debit the tokens that a write settles and returns, before the write."""
        if return_tokens > grant.free_tokens:
            raise InvariantError(
                f"grant {grant.grant_id}: cannot return {return_tokens} tokens, only "
                f"{grant.free_tokens} are free"
            )
        if settle_tokens > grant.consumed_tokens:
            raise InvariantError(
                f"grant {grant.grant_id}: cannot settle {settle_tokens} tokens, only "
                f"{grant.consumed_tokens} were consumed"
            )
        grant.consumed_tokens -= settle_tokens
        grant.free_tokens -= return_tokens
        grant.transit_tokens += settle_tokens + return_tokens
        return GrantChange(
            grant.grant_id,
            self.budget,
            settle_tokens=settle_tokens,
            return_tokens=return_tokens,
        )

    def _drop_if_empty(self, grant: HeldGrant) -> None:
        if grant.is_empty:
            self.grants.pop(grant.grant_id, None)
