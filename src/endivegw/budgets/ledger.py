"""What a sidecar knows of the grants that work runs under: the last gate.

Tokens are consumed beside the sidecar and nowhere else, so this is where a
stale router is stopped. A router that was paused beyond its lease wakes up and
still believes in grants that were settled meanwhile; a sealed grant refuses it
before a token is used.
"""

from __future__ import annotations

from attrs import define, field, frozen

from endivegw.budgets.rows import HolderId, grant_number_of, holder_named, holder_of
from endivegw.exceptions import InvariantError
from endivegw.results import Reason, Refused
from endivegw.types import AttemptId, BudgetKey, GrantId, Usage

__all__ = ["GrantLedger", "GrantUse", "SealedGrant"]


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
    """

    grant_id: GrantId
    budget: BudgetKey
    consumed_tokens: int
    reserved_tokens: int


@define
class _Attempt:
    grant_id: GrantId
    reservation_tokens: int
    consumed_tokens: int = 0


@define
class _Grant:
    budget: BudgetKey
    consumed_tokens: int = 0
    running: set[AttemptId] = field(factory=set)
    touched_at_s: float = 0.0
    dirty: bool = False


class GrantLedger:
    """Count what each grant consumed at one target, and refuse sealed ones.

    Memory is bounded: a grant's entry goes away once its holder has closed it,
    and of a sealed holder only the name stays.

    :param checks_holders: whether a grant of a holder that
        :meth:`learn_holder` was not told about is refused. A sidecar that was
        just started has forgotten every seal, so it must ask the table about
        each holder before it runs that holder's work.
    """

    def __init__(self, checks_holders: bool = False) -> None:
        self._checks_holders = checks_holders
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
        grant = self._grants.setdefault(grant_id, _Grant(budget))
        if grant.budget != budget:
            return Refused(
                Reason.BAD_REQUEST, f"grant {grant_id} is not one of budget {budget}"
            )
        grant.running.add(attempt_id)
        grant.touched_at_s = now_s
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
        grant.touched_at_s = now_s
        grant.dirty = True

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
        grant.touched_at_s = now_s
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

    def uses_due(self) -> tuple[GrantUse, ...]:
        """Return the grants whose use changed since the last checkpoint."""
        return tuple(
            self._use(grant_id, grant)
            for grant_id, grant in self._grants.items()
            if grant.dirty
        )

    def all_uses(self) -> tuple[GrantUse, ...]:
        """Return every grant that is still counted here."""
        return tuple(
            self._use(grant_id, grant) for grant_id, grant in self._grants.items()
        )

    def checkpointed(self, uses: tuple[GrantUse, ...]) -> None:
        """Take in that these figures are in the table."""
        for use in uses:
            grant = self._grants.get(use.grant_id)
            if grant and self._use(use.grant_id, grant) == use:
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

    def _use(self, grant_id: GrantId, grant: _Grant) -> GrantUse:
        return GrantUse(
            grant_id, grant.budget, grant.consumed_tokens, self._running_tokens(grant)
        )

    def _running_tokens(self, grant: _Grant) -> int:
        return sum(self._attempts[name].reservation_tokens for name in grant.running)

    def _sealed_grant(self, grant_id: GrantId) -> SealedGrant:
        grant = self._grants.get(grant_id)
        if grant is None:
            return SealedGrant(grant_id, 0, 0, 0)
        return SealedGrant(
            grant_id,
            grant.consumed_tokens,
            self._running_tokens(grant),
            len(grant.running),
        )
