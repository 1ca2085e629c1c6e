"""Count what a sidecar consumes of each grant, and refuse work under sealed grants.

Tokens are consumed beside the sidecar and nowhere else, so this is where a stale router
is stopped. A router that was paused beyond its lease still uses grants that were
settled in the meantime; a sealed grant refuses its work before a token is consumed.
"""

from __future__ import annotations

from typing import Mapping

from attrs import define, field, frozen

from endivegw.budgets.rows import (
    HolderId,
    grant_number_of,
    holder_of,
    holder_of_all_grants,
)
from endivegw.exceptions import InvariantError
from endivegw.results import Reason, Refused
from endivegw.types import AttemptId, BudgetKey, GrantId, Usage

__all__ = ["DEFAULT_CEILING_TOKENS", "GrantLedger", "GrantUse", "SealedGrant"]

#: Tokens of a grant that a sidecar may consume before the table records that it uses
#: the grant. They must cover some requests, so that the first request of a grant does
#: not wait for a write. All of them are charged if the sidecar is lost before the first
#: checkpoint.
DEFAULT_CEILING_TOKENS = 8_000

#: Seconds of the grant's demand at this sidecar that a ceiling covers, since the
#: ceiling cannot be raised while the table is unavailable. A longer period charges more
#: tokens if a sidecar is lost; a shorter one refuses work in an outage although routers
#: have tokens for it.
_CEILING_HORIZON_S = 700.0

#: Factor on the projected demand. Other sidecars may fail during an outage, which moves
#: their work to this one.
_FAILOVER_MARGIN = 1.5

#: Minimum observation period of a grant when its rate is computed.
_MIN_OBSERVED_S = 60.0


@frozen
class SealedGrant:
    """Represent the consumption under a grant that is closed to further work.

    :param consumed_tokens: consumed by attempts that ended.
    :param running_tokens: the most that running attempts may consume.
    :param running: number of running attempts.
    """

    grant_id: GrantId
    consumed_tokens: int
    running_tokens: int
    running: int


@frozen
class GrantUse:
    """Represent the cumulative use of a grant in a checkpoint; it never decreases.

    :param reserved_tokens: the most that running attempts may consume.
    :param ceiling_tokens: the most that will be consumed before the table holds a
        higher ceiling; it never decreases.
    """

    grant_id: GrantId
    budget: BudgetKey
    consumed_tokens: int
    reserved_tokens: int
    ceiling_tokens: int = 0


@define
class _Attempt:
    grant_id: GrantId
    reservation_tokens: int
    consumed_tokens: int = 0


@define
class _Grant:
    budget: BudgetKey
    ceiling_tokens: int
    first_at_s: float
    consumed_tokens: int = 0
    allowance_tokens: int = DEFAULT_CEILING_TOKENS
    running: set[AttemptId] = field(factory=set)
    reserved_tokens: int = 0
    dirty: bool = False


class GrantLedger:
    """Count what each grant consumed at one target, and refuse sealed grants.

    Memory is bounded: the entry of a grant is dropped once its holder has closed it,
    and only the name of a sealed holder is retained.

    :param checks_holders: whether to refuse grants of holders that were not passed to
        :meth:`record_holder_state`. A restarted sidecar does not know earlier seals, so
        it must read the state of each holder from the table before it runs work of that
        holder.
    :param has_ceilings: whether use stops at a ceiling until :meth:`apply_checkpoint`
        raises it. Only the ceiling bounds what a lost sidecar may have consumed.
    """

    def __init__(
        self, checks_holders: bool = False, has_ceilings: bool = False
    ) -> None:
        self._checks_holders = checks_holders
        self._has_ceilings = has_ceilings
        self._grants: dict[GrantId, _Grant] = {}
        self._attempts: dict[AttemptId, _Attempt] = {}
        self._sealed: set[GrantId] = set()
        self._open_holders: set[HolderId] = set()
        self._sealed_holders: set[HolderId] = set()

    def knows_holder(self, grant_id: GrantId) -> bool:
        """Return whether the state of the grant's holder was read from the table."""
        holder = holder_of(grant_id)
        return holder in self._open_holders or holder in self._sealed_holders

    def record_holder_state(self, holder: HolderId, sealed: bool) -> None:
        """Record the state of a holder as read from the table; a seal is permanent."""
        if sealed:
            self._sealed_holders.add(holder)
            self._open_holders.discard(holder)
        elif holder not in self._sealed_holders:
            self._open_holders.add(holder)

    def admit(
        self,
        grant_id: GrantId,
        budget: BudgetKey,
        attempt_id: AttemptId,
        reservation_tokens: int,
        now_s: float,
    ) -> Refused | None:
        """Register an attempt before it starts, or return why it must not run.

        :returns: None if the attempt may start; refused with ``GRANT_SEALED``, or with
            ``NOT_READY`` if the state of the holder is unknown or the reservation does
            not fit below the ceiling.
        """
        holder = holder_of(grant_id)
        if grant_id in self._sealed or holder in self._sealed_holders:
            return Refused(Reason.GRANT_SEALED, f"grant {grant_id} is sealed")
        if self._checks_holders and holder not in self._open_holders:
            return Refused(
                Reason.NOT_READY, f"state of holder {holder} is not known yet"
            )
        if attempt_id in self._attempts:
            raise InvariantError(f"attempt {attempt_id} is already admitted")
        grant = self._grants.get(grant_id)
        if grant is None:
            grant = _Grant(budget, DEFAULT_CEILING_TOKENS, now_s)
        if grant.budget != budget:
            return Refused(
                Reason.BAD_REQUEST,
                f"grant {grant_id} does not belong to budget {budget}",
            )
        if self._has_ceilings and self.available_tokens(grant_id) < reservation_tokens:
            return Refused(
                Reason.NOT_READY,
                f"grant {grant_id}: {reservation_tokens} tokens exceed its ceiling",
            )
        self._grants[grant_id] = grant
        grant.running.add(attempt_id)
        grant.reserved_tokens += reservation_tokens
        grant.dirty = True
        self._attempts[attempt_id] = _Attempt(grant_id, reservation_tokens)
        return None

    def consume(self, attempt_id: AttemptId, tokens: int, now_s: float) -> None:
        """Count tokens of a running attempt.

        :raises InvariantError: if they would exceed the reservation; the caller must
            then stop the engine instead of delivering them.
        """
        attempt = self._attempts[attempt_id]
        if attempt.consumed_tokens + tokens > attempt.reservation_tokens:
            raise InvariantError(
                f"attempt {attempt_id}: consumption of "
                f"{attempt.consumed_tokens + tokens} tokens would exceed its "
                f"reservation of {attempt.reservation_tokens}"
            )
        attempt.consumed_tokens += tokens
        grant = self._grants[attempt.grant_id]
        grant.dirty = True

    def available_tokens(self, grant_id: GrantId) -> int:
        """Return how many tokens of a grant may still be reserved below its ceiling."""
        grant = self._grants.get(grant_id)
        if grant is None:
            return DEFAULT_CEILING_TOKENS
        return grant.ceiling_tokens - grant.consumed_tokens - grant.reserved_tokens

    def is_near_ceiling(self, grant_id: GrantId) -> bool:
        """Return whether more than half of a grant's last allowance is used."""
        grant = self._grants.get(grant_id)
        if grant is None:
            return False
        return self.available_tokens(grant_id) * 2 < grant.allowance_tokens

    def remaining_tokens(self, attempt_id: AttemptId) -> int:
        """Return how many tokens a running attempt may still consume."""
        attempt = self._attempts[attempt_id]
        return attempt.reservation_tokens - attempt.consumed_tokens

    def end(self, attempt_id: AttemptId, usage: Usage, now_s: float) -> None:
        """Record the final usage of an attempt; repeated calls have no effect.

        :raises InvariantError: if the target consumed more than was reserved. The full
            usage is counted first, since it has taken place.
        """
        attempt = self._attempts.pop(attempt_id, None)
        if attempt is None:
            return
        grant = self._grants[attempt.grant_id]
        used_tokens = max(usage.total_tokens, attempt.consumed_tokens)
        grant.consumed_tokens += used_tokens
        grant.running.discard(attempt_id)
        grant.reserved_tokens -= attempt.reservation_tokens
        grant.dirty = True
        if used_tokens > attempt.reservation_tokens:
            raise InvariantError(
                f"attempt {attempt_id}: consumption of {used_tokens} tokens exceeds "
                f"its reservation of {attempt.reservation_tokens}"
            )

    def seal(
        self, grant_ids: tuple[GrantId, ...], now_s: float
    ) -> tuple[SealedGrant, ...]:
        """Refuse all later work under the grants and return their consumption.

        An id made by :func:`rows.all_grants_of` seals a holder; the result then lists
        each of its grants that work ran under here.

        Running work continues, because its caller may still be joined to it through
        another router. The caller of this method repeats it until no work is running.
        """
        sealed_ids: list[GrantId] = []
        for grant_id in grant_ids:
            holder = holder_of_all_grants(grant_id)
            if holder is None:
                self._sealed.add(grant_id)
                sealed_ids.append(grant_id)
            else:
                self.record_holder_state(holder, sealed=True)
                sealed_ids.extend(
                    one for one in self._grants if holder_of(one) == holder
                )
        return tuple(self._sealed_grant(grant_id) for grant_id in sealed_ids)

    def is_sealed(self, grant_id: GrantId) -> bool:
        """Return whether work under the grant would be refused as sealed."""
        return grant_id in self._sealed or holder_of(grant_id) in self._sealed_holders

    @property
    def is_dirty(self) -> bool:
        """Return whether any use changed since the last checkpoint."""
        return any(grant.dirty for grant in self._grants.values())

    def uses(
        self, now_s: float, wanted: Mapping[GrantId, int] | None = None
    ) -> tuple[GrantUse, ...]:
        """Return the use of every counted grant, with the ceilings to write.

        :param wanted: by grant, tokens of reservations that wait for a higher ceiling.
        """
        wanted = wanted or {}
        return tuple(
            self._use(grant_id, grant, now_s, wanted.get(grant_id, 0))
            for grant_id, grant in self._grants.items()
        )

    def track(self, grant_id: GrantId, budget: BudgetKey, now_s: float) -> None:
        """Start counting a grant, so that its ceiling can be raised."""
        if grant_id not in self._grants:
            grant = _Grant(budget, DEFAULT_CEILING_TOKENS, now_s)
            self._grants[grant_id] = grant

    def apply_checkpoint(self, uses: tuple[GrantUse, ...]) -> None:
        """Raise the ceilings to those of a checkpoint that is in the table."""
        for use in uses:
            grant = self._grants.get(use.grant_id)
            if grant is None:
                continue
            grant.ceiling_tokens = max(grant.ceiling_tokens, use.ceiling_tokens)
            committed_tokens = use.consumed_tokens + use.reserved_tokens
            grant.allowance_tokens = use.ceiling_tokens - committed_tokens
            is_unchanged = grant.consumed_tokens == use.consumed_tokens
            if is_unchanged and grant.reserved_tokens == use.reserved_tokens:
                grant.dirty = False

    def forget_closed(self, holder: HolderId, closed_below: int) -> int:
        """Drop closed and settled grants of a holder and return their number.

        The holder closes a grant only once no attempt is left under it, so it sends no
        more work under that grant.
        """
        closed = [
            grant_id
            for grant_id, grant in self._grants.items()
            if not grant.running
            and holder_of(grant_id) == holder
            and grant_number_of(grant_id) < closed_below
        ]
        for grant_id in closed:
            del self._grants[grant_id]
        return len(closed)

    def forget_holder(self, holder: HolderId) -> None:
        """Drop the grants of a sealed holder but retain its name as sealed."""
        self.record_holder_state(holder, sealed=True)
        closed = [name for name in self._grants if holder_of(name) == holder]
        for grant_id in closed:
            if not self._grants[grant_id].running:
                del self._grants[grant_id]

    def holders(self) -> tuple[HolderId, ...]:
        """Return the open holders and those of counted grants, for a refresh."""
        counted = {holder_of(grant_id) for grant_id in self._grants}
        return tuple(sorted(self._open_holders | counted))

    def __len__(self) -> int:
        return len(self._grants)

    @property
    def running(self) -> int:
        """Return the number of running attempts."""
        return len(self._attempts)

    def _use(
        self, grant_id: GrantId, grant: _Grant, now_s: float, wanted_tokens: int
    ) -> GrantUse:
        committed_tokens = grant.consumed_tokens + grant.reserved_tokens
        observed_s = max(now_s - grant.first_at_s, _MIN_OBSERVED_S)
        projected_tokens = int(
            committed_tokens / observed_s * _CEILING_HORIZON_S * _FAILOVER_MARGIN
        )
        allowance_tokens = max(projected_tokens, DEFAULT_CEILING_TOKENS) + wanted_tokens
        ceiling_tokens = max(grant.ceiling_tokens, committed_tokens + allowance_tokens)
        return GrantUse(
            grant_id,
            grant.budget,
            grant.consumed_tokens,
            grant.reserved_tokens,
            ceiling_tokens,
        )

    def _sealed_grant(self, grant_id: GrantId) -> SealedGrant:
        grant = self._grants.get(grant_id)
        if grant is None:
            return SealedGrant(grant_id, 0, 0, 0)
        return SealedGrant(
            grant_id,
            grant.consumed_tokens,
            grant.reserved_tokens,
            len(grant.running),
        )
