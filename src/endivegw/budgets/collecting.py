"""Decide how much of a grant under recovery to settle, return and hold back."""

from __future__ import annotations

from typing import Iterable, Mapping

from attrs import define, field, frozen

from endivegw.budgets.checkpoint import LedgerRow
from endivegw.budgets.ledger import (
    DEFAULT_CEILING_TOKENS,
    GrantUse,
    SealedGrant,
)
from endivegw.budgets.rows import GrantRow
from endivegw.exceptions import InvariantError
from endivegw.types import GrantId

__all__ = ["CollectedUsage", "GrantDecision", "decide"]

#: Maximum clock difference between two machines. A grant opened more than this after a
#: sidecar terminated cannot have been used there.
MAX_CLOCK_DIFFERENCE_S = 30


@frozen
class LostSidecarUsage:
    """Represent what a lost sidecar may have consumed after its last checkpoint.

    :param unreported_tokens: maximum by grant, up to the ceiling in the checkpoint. A
        grant that the checkpoint does not list was used up to the default ceiling at
        most.
    """

    ended_at_s: int
    unreported_tokens: Mapping[GrantId, int]

    def max_unreported_tokens(self, grant: GrantRow) -> int:
        """Return the most tokens of a grant that may have been used unreported."""
        if grant.opened_at_s > self.ended_at_s + MAX_CLOCK_DIFFERENCE_S:
            return 0
        return self.unreported_tokens.get(grant.grant_id, DEFAULT_CEILING_TOKENS)


@define
class CollectedUsage:
    """Sum up the use of sealed grants as reported by the sidecars.

    :ivar unreachable: number of sidecars that may have run work and do not answer.
    :ivar lost: sidecars that terminated without a final checkpoint.
    """

    consumed_tokens: dict[GrantId, int] = field(factory=dict)
    running_tokens: dict[GrantId, int] = field(factory=dict)
    unreachable: int = 0
    lost: list[LostSidecarUsage] = field(factory=list)

    def add_answer(self, grants: Iterable[SealedGrant]) -> None:
        """Add the use that a sidecar reported."""
        for grant in grants:
            self._add(grant.grant_id, grant.consumed_tokens, grant.running_tokens)

    def add_ended(self, ledger: LedgerRow, uses: tuple[GrantUse, ...]) -> None:
        """Add the last checkpoint of a sidecar that has terminated."""
        for use in uses:
            self._add(use.grant_id, use.consumed_tokens, 0)
        if not ledger.exact and ledger.ended_at_s is not None:
            more = {
                use.grant_id: use.ceiling_tokens - use.consumed_tokens for use in uses
            }
            self.lost.append(LostSidecarUsage(ledger.ended_at_s, more))

    def add_unreachable(self) -> None:
        """Count a sidecar that does not answer."""
        self.unreachable += 1

    def _add(self, grant_id: GrantId, consumed: int, running: int) -> None:
        known = self.consumed_tokens.get(grant_id, 0)
        self.consumed_tokens[grant_id] = known + consumed
        known = self.running_tokens.get(grant_id, 0)
        self.running_tokens[grant_id] = known + running


@frozen
class GrantDecision:
    """Represent what recovery does with the tokens of one grant.

    :param settle_tokens: consumed and not settled before.
    :param write_off_tokens: possibly consumed at a lost sidecar. They are charged,
        because returning them could let an account spend them twice.
    :param return_tokens: certainly not consumed.
    :param held_tokens: use not yet known; they stay in escrow.
    :param closes: whether the row of the grant is deleted.
    :param was_open: whether recovery has not written the grant before.
    """

    settle_tokens: int
    write_off_tokens: int
    return_tokens: int
    held_tokens: int
    closes: bool
    was_open: bool

    @property
    def changes_row(self) -> bool:
        """Return whether the decision needs a write."""
        moved = self.settle_tokens + self.write_off_tokens + self.return_tokens
        return moved > 0 or self.closes or self.was_open


def decide(grant: GrantRow, collected: CollectedUsage) -> GrantDecision:
    """Decide on one grant from the use that is known now.

    :raises InvariantError: if more tokens were consumed than the grant held.
    """
    consumed_tokens = collected.consumed_tokens.get(grant.grant_id, 0)
    running_tokens = collected.running_tokens.get(grant.grant_id, 0)
    settle_tokens = max(consumed_tokens - grant.settled_tokens, 0)
    remaining_tokens = grant.tokens - settle_tokens
    if remaining_tokens < running_tokens:
        raise InvariantError(
            f"grant {grant.grant_id}: {settle_tokens} tokens to settle and "
            f"{running_tokens} running exceed the {grant.tokens} in escrow"
        )
    lost_tokens = sum(one.max_unreported_tokens(grant) for one in collected.lost)
    settled_tokens = grant.settled_tokens + settle_tokens
    # Tokens that the holder settled beyond the reported use were consumed at lost
    # sidecars.
    max_used_tokens = consumed_tokens + running_tokens + lost_tokens
    uncertain_tokens = min(
        max(max_used_tokens - settled_tokens, running_tokens), remaining_tokens
    )
    write_off_tokens = return_tokens = 0
    if collected.unreachable == 0:
        return_tokens = remaining_tokens - uncertain_tokens
        if running_tokens == 0:
            write_off_tokens = uncertain_tokens
    held_tokens = remaining_tokens - return_tokens - write_off_tokens
    return GrantDecision(
        settle_tokens=settle_tokens,
        write_off_tokens=write_off_tokens,
        return_tokens=return_tokens,
        held_tokens=held_tokens,
        closes=held_tokens == 0,
        was_open=grant.open,
    )
