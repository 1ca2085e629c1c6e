"""Decide what to settle, return and hold back of a grant under recovery."""

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

__all__ = ["Collected", "GrantDecision", "decide"]

#: How far the clocks of two machines may differ. A grant opened later than this
#: after a sidecar had ended cannot have been used there.
MAX_CLOCK_DIFFERENCE_S = 30


@frozen
class LostLedger:
    """Hold what a lost sidecar may have consumed beyond its last checkpoint.

    :param more_tokens: by grant, up to the ceiling that the checkpoint sets;
        a grant that is not in it was used up to the default ceiling at most.
    """

    ended_at_s: int
    more_tokens: Mapping[GrantId, int]

    def may_have_used_tokens(self, grant: GrantRow) -> int:
        """Return the most that nobody can tell of a grant's use."""
        if grant.opened_at_s > self.ended_at_s + MAX_CLOCK_DIFFERENCE_S:
            return 0
        return self.more_tokens.get(grant.grant_id, DEFAULT_CEILING_TOKENS)


@define
class Collected:
    """Add up what the sidecars said of the sealed grants.

    :ivar unreachable: sidecars that may have run work and do not answer.
    :ivar lost: sidecars that ended without a final checkpoint.
    """

    consumed_tokens: dict[GrantId, int] = field(factory=dict)
    running_tokens: dict[GrantId, int] = field(factory=dict)
    unreachable: int = 0
    lost: list[LostLedger] = field(factory=list)

    def add_answer(self, grants: Iterable[SealedGrant]) -> None:
        """Take in a sidecar's answer."""
        for grant in grants:
            self._add(grant.grant_id, grant.consumed_tokens, grant.running_tokens)

    def add_ended(self, ledger: LedgerRow, uses: tuple[GrantUse, ...]) -> None:
        """Take in the last checkpoint of a sidecar that has ended."""
        for use in uses:
            self._add(use.grant_id, use.consumed_tokens, 0)
        if not ledger.exact and ledger.ended_at_s is not None:
            more = {
                use.grant_id: use.ceiling_tokens - use.consumed_tokens for use in uses
            }
            self.lost.append(LostLedger(ledger.ended_at_s, more))

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
    lost_tokens = sum(one.may_have_used_tokens(grant) for one in collected.lost)
    settled_tokens = grant.settled_tokens + settle_tokens
    # What the holder settled beyond what is counted was used at lost sidecars.
    most_tokens = consumed_tokens + running_tokens + lost_tokens
    open_tokens = min(max(most_tokens - settled_tokens, running_tokens), rest_tokens)
    write_off_tokens = return_tokens = 0
    if collected.unreachable == 0:
        return_tokens = rest_tokens - open_tokens
        if running_tokens == 0:
            write_off_tokens = open_tokens
    held_tokens = rest_tokens - return_tokens - write_off_tokens
    return GrantDecision(
        settle_tokens=settle_tokens,
        write_off_tokens=write_off_tokens,
        return_tokens=return_tokens,
        held_tokens=held_tokens,
        closes=held_tokens == 0,
        was_open=grant.open,
    )
