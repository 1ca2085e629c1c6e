"""What a sidecar knows of the grants that work runs under: the last gate.

Tokens are consumed beside the sidecar and nowhere else, so this is where a
stale router is stopped. A router that was paused beyond its lease wakes up and
still believes in grants that were settled meanwhile; a sealed grant refuses it
before a token is used.
"""

from __future__ import annotations

from typing import Mapping

from attrs import define, field, frozen

from endivegw.budgets.rows import HolderId, grant_number_of, holder_named, holder_of
from endivegw.exceptions import InvariantError
from endivegw.results import Reason, Refused
from endivegw.types import AttemptId, BudgetKey, GrantId, Usage

__all__ = ["DEFAULT_CEILING_TOKENS", "GrantLedger", "GrantUse", "SealedGrant"]

#: What a sidecar may consume of a grant before the table knows that it has met
#: it. It must cover some requests, so that the first of a grant does not wait
#: for a write; all of it is charged where the sidecar is lost before.
DEFAULT_CEILING_TOKENS = 8_000

#: A ceiling leaves room for this much of the grant's demand here, since it
#: cannot be raised while the table is away. Longer charges more where a sidecar
#: is lost; shorter refuses work in an outage that routers have tokens for.
_HORIZON_S = 700.0

#: In an outage other sidecars may fail, and their work comes here.
_MARGIN = 1.5

#: A grant seen for less than this is taken to have been seen for this long.
_LEAST_SEEN_S = 60.0


@frozen
class SealedGrant:
    """Say what was consumed under a grant that no further work may use.

    :param consumed_tokens: by attempts that ended.
    :param running_tokens: the most that attempts still running may consume.
    """

    grant_id: GrantId
    consumed_tokens: int
    running_tokens: int
    running: int


@frozen
class GrantUse:
    """Hold a grant's use for the checkpoint: cumulative, never falling.

    :param reserved_tokens: the most that attempts still running may consume.
    :param ceiling_tokens: the most that will be consumed before the table holds
        a higher ceiling; it only rises.
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
    """Count what each grant consumed at one target, and refuse sealed ones.

    Memory is bounded: a grant's entry goes away once its holder has closed it,
    and of a sealed holder only the name stays.

    :param checks_holders: whether a grant of a holder that
        :meth:`learn_holder` was not told about is refused. A sidecar that was
        just started has forgotten every seal, so it must ask the table about
        each holder before it runs that holder's work.
    :param has_ceilings: whether use stops at a ceiling until
        :meth:`checkpointed` raises it. What a lost sidecar may have consumed is
        bounded by that, and by nothing else.
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
        """Return whether the table was asked about the grant's holder."""
        holder = holder_of(grant_id)
        return holder in self._open_holders or holder in self._sealed_holders

    def learn_holder(self, holder: HolderId, sealed: bool) -> None:
        """Take in what the table says of a holder; a seal is never undone."""
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
        """Count an attempt in before it starts, or say why it must not run.

        :returns: None where it may start; refused with ``GRANT_SEALED`` or, for
            a holder not yet asked about, ``NOT_READY``.
        """
        holder = holder_of(grant_id)
        if grant_id in self._sealed or holder in self._sealed_holders:
            return Refused(Reason.GRANT_SEALED, f"grant {grant_id} is sealed")
        if self._checks_holders and holder not in self._open_holders:
            return Refused(Reason.NOT_READY, f"holder {holder} is not known yet")
        if attempt_id in self._attempts:
            raise InvariantError(f"attempt {attempt_id} was admitted already")
        grant = self._grants.get(grant_id)
        if grant is None:
            grant = _Grant(budget, DEFAULT_CEILING_TOKENS, now_s)
        if grant.budget != budget:
            return Refused(
                Reason.BAD_REQUEST, f"grant {grant_id} is not one of budget {budget}"
            )
        if self._has_ceilings and self.room_tokens(grant_id) < reservation_tokens:
            return Refused(Reason.NOT_READY, f"grant {grant_id} is at its ceiling")
        self._grants[grant_id] = grant
        grant.running.add(attempt_id)
        grant.reserved_tokens += reservation_tokens
        grant.dirty = True
        self._attempts[attempt_id] = _Attempt(grant_id, reservation_tokens)
        return None

    def consume(self, attempt_id: AttemptId, tokens: int, now_s: float) -> None:
        """Count tokens of a running attempt.

        :raises InvariantError: where they would pass the reservation; the
            caller must stop the engine instead of handing them on.
        """
        attempt = self._attempts[attempt_id]
        if attempt.consumed_tokens + tokens > attempt.reservation_tokens:
            raise InvariantError(
                f"attempt {attempt_id} would consume "
                f"{attempt.consumed_tokens + tokens} tokens of a reservation of "
                f"{attempt.reservation_tokens}"
            )
        attempt.consumed_tokens += tokens
        grant = self._grants[attempt.grant_id]
        grant.dirty = True

    def room_tokens(self, grant_id: GrantId) -> int:
        """Return how much more of a grant may be reserved below its ceiling."""
        grant = self._grants.get(grant_id)
        if grant is None:
            return DEFAULT_CEILING_TOKENS
        return grant.ceiling_tokens - grant.consumed_tokens - grant.reserved_tokens

    def is_near_ceiling(self, grant_id: GrantId) -> bool:
        """Return whether half of a grant's last allowance is used up."""
        grant = self._grants.get(grant_id)
        if grant is None:
            return False
        return self.room_tokens(grant_id) * 2 < grant.allowance_tokens

    def remaining_tokens(self, attempt_id: AttemptId) -> int:
        """Return how many tokens a running attempt may still consume."""
        attempt = self._attempts[attempt_id]
        return attempt.reservation_tokens - attempt.consumed_tokens

    def end(self, attempt_id: AttemptId, usage: Usage, now_s: float) -> None:
        """Take an attempt's final usage in; repeated calls do nothing.

        :raises InvariantError: where the target consumed more than was reserved;
            the whole use is counted first, since it has taken place.
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
                f"attempt {attempt_id} consumed {used_tokens} tokens of a "
                f"reservation of {attempt.reservation_tokens}"
            )

    def seal(
        self, grant_ids: tuple[GrantId, ...], now_s: float
    ) -> tuple[SealedGrant, ...]:
        """Refuse all later work under the grants and say what they consumed.

        An id of :func:`rows.all_grants_of` seals a holder, and is answered with
        each of its grants that work ran under here.

        Running work goes on: its caller may still be joined to it through
        another router. The asker comes back until nothing runs any more.
        """
        named: list[GrantId] = []
        for grant_id in grant_ids:
            holder = holder_named(grant_id)
            if holder is None:
                self._sealed.add(grant_id)
                named.append(grant_id)
            else:
                self.learn_holder(holder, sealed=True)
                named.extend(one for one in self._grants if holder_of(one) == holder)
        return tuple(self._sealed_grant(grant_id) for grant_id in named)

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
        """Return every grant that is counted here, with the ceilings to write.

        :param wanted: reservations that wait for a higher ceiling.
        """
        wanted = wanted or {}
        return tuple(
            self._use(grant_id, grant, now_s, wanted.get(grant_id, 0))
            for grant_id, grant in self._grants.items()
        )

    def meet(self, grant_id: GrantId, budget: BudgetKey, now_s: float) -> None:
        """Count a grant from now on, so that its ceiling can be raised."""
        if grant_id not in self._grants:
            grant = _Grant(budget, DEFAULT_CEILING_TOKENS, now_s)
            self._grants[grant_id] = grant

    def checkpointed(self, uses: tuple[GrantUse, ...]) -> None:
        """Take in that these figures are in the table, and raise the ceilings."""
        for use in uses:
            grant = self._grants.get(use.grant_id)
            if grant is None:
                continue
            grant.ceiling_tokens = max(grant.ceiling_tokens, use.ceiling_tokens)
            committed_tokens = use.consumed_tokens + use.reserved_tokens
            grant.allowance_tokens = use.ceiling_tokens - committed_tokens
            same = grant.consumed_tokens == use.consumed_tokens
            if same and grant.reserved_tokens == use.reserved_tokens:
                grant.dirty = False

    def forget_closed(self, holder: HolderId, closed_below: int) -> int:
        """Drop a holder's grants that are closed and settled; return how many.

        Its holder closed them itself when no attempt was left under them, so it
        sends no more work under them.
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
        """Drop the grants of a sealed holder; its name stays, as sealed."""
        self.learn_holder(holder, sealed=True)
        gone = [name for name in self._grants if holder_of(name) == holder]
        for grant_id in gone:
            if not self._grants[grant_id].running:
                del self._grants[grant_id]

    def holders(self) -> tuple[HolderId, ...]:
        """Return the open holders and those with grants, to ask the table about."""
        counted = {holder_of(grant_id) for grant_id in self._grants}
        return tuple(sorted(self._open_holders | counted))

    def __len__(self) -> int:
        return len(self._grants)

    @property
    def running(self) -> int:
        """Return how many attempts run."""
        return len(self._attempts)

    def _use(
        self, grant_id: GrantId, grant: _Grant, now_s: float, wanted_tokens: int
    ) -> GrantUse:
        committed_tokens = grant.consumed_tokens + grant.reserved_tokens
        seen_s = max(now_s - grant.first_at_s, _LEAST_SEEN_S)
        ahead_tokens = int(committed_tokens / seen_s * _HORIZON_S * _MARGIN)
        allowance_tokens = max(ahead_tokens, DEFAULT_CEILING_TOKENS) + wanted_tokens
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
