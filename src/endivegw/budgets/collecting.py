"""Decide what to settle, return and hold back of a grant under recovery."""

from __future__ import annotations

from typing import Iterable

from attrs import define, field, frozen

from endivegw.budgets.checkpoint import LedgerRow
from endivegw.budgets.ledger import GrantUse, SealedGrant
from endivegw.budgets.rows import GrantRow
from endivegw.exceptions import InvariantError
from endivegw.types import GrantId

__all__ = ["Collected", "GrantDecision", "decide"]

#: How far the clocks of two machines may differ. A grant opened later than this
#: after a sidecar had ended cannot have been used there.
MAX_CLOCK_DIFFERENCE_S = 30


@define
class Collected:
    """Add up what the sidecars said of the sealed grants.

    :ivar unreachable: sidecars that may have run work and do not answer.
    :ivar lost_at_s: when the last sidecar was lost whose use is not known.
    """

    consumed_tokens: dict[GrantId, int] = field(factory=dict)
    running_tokens: dict[GrantId, int] = field(factory=dict)
    unreachable: int = 0
    lost_at_s: int | None = None

    def add_answer(self, grants: Iterable[SealedGrant]) -> None:
        """Take in a sidecar's answer."""
        for grant in grants:
            self._add(grant.grant_id, grant.consumed_tokens, grant.running_tokens)

    def add_ended(self, ledger: LedgerRow, uses: Iterable[GrantUse]) -> None:
        """Take in the last checkpoint of a sidecar that has ended."""
        for use in uses:
            self._add(use.grant_id, use.consumed_tokens, 0)
        if not ledger.exact and ledger.ended_at_s is not None:
            self.lost_at_s = max(self.lost_at_s or 0, ledger.ended_at_s)

    def add_unreachable(self) -> None:
        """Take in that a sidecar does not answer."""
        self.unreachable += 1

    def _add(self, grant_id: GrantId, consumed: int, running: int) -> None:
        known = self.consumed_tokens.get(grant_id, 0)
        self.consumed_tokens[grant_id] = known + consumed
        known = self.running_tokens.get(grant_id, 0)
        self.running_tokens[grant_id] = known + running


@frozen
class GrantDecision:
    """Hold what recovery does with one grant's tokens.

    :param settle_tokens: consumed, and not settled before.
    :param write_off_tokens: perhaps consumed at a sidecar that is lost; charged,
        since returning them could let an account spend them twice.
    :param return_tokens: certainly not consumed.
    :param held_tokens: not known yet; they stay escrowed.
    """

    settle_tokens: int
    write_off_tokens: int
    return_tokens: int
    held_tokens: int
    closes: bool
    was_open: bool

    @property
    def changes_row(self) -> bool:
        """Return whether there is something to write."""
        moved = self.settle_tokens + self.write_off_tokens + self.return_tokens
        return moved > 0 or self.closes or self.was_open


def decide(grant: GrantRow, collected: Collected) -> GrantDecision:
    """Decide on one grant by what is known now.

    :raises InvariantError: where more was consumed than the grant held.
    """
    consumed_tokens = collected.consumed_tokens.get(grant.grant_id, 0)
    running_tokens = collected.running_tokens.get(grant.grant_id, 0)
    settle_tokens = max(consumed_tokens - grant.settled_tokens, 0)
    rest_tokens = grant.tokens - settle_tokens
    if rest_tokens < running_tokens:
        raise InvariantError(
            f"grant {grant.grant_id}: {settle_tokens} tokens to settle and "
            f"{running_tokens} running, and only {grant.tokens} escrowed"
        )
    is_doubtful = _may_have_lost_use(grant, collected)
    write_off_tokens = return_tokens = 0
    if collected.unreachable == 0 and not is_doubtful:
        return_tokens = rest_tokens - running_tokens
    elif collected.unreachable == 0 and running_tokens == 0:
        write_off_tokens = rest_tokens
    held_tokens = rest_tokens - return_tokens - write_off_tokens
    return GrantDecision(
        settle_tokens=settle_tokens,
        write_off_tokens=write_off_tokens,
        return_tokens=return_tokens,
        held_tokens=held_tokens,
        closes=held_tokens == 0,
        was_open=grant.open,
    )


def _may_have_lost_use(grant: GrantRow, collected: Collected) -> bool:
    """Return whether a lost sidecar may have consumed under the grant."""
    if collected.lost_at_s is None:
        return False
    return grant.opened_at_s <= collected.lost_at_s + MAX_CLOCK_DIFFERENCE_S
