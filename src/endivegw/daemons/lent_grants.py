"""Recover the grants of a live router of which only borrowers hold something."""

from __future__ import annotations

from typing import Callable

import anyio

from endivegw.budgets import BudgetManager
from endivegw.budgets.recovery import Recovery
from endivegw.daemons.seal_calls import SealCalls

__all__ = ["LentGrants"]

#: Tokens lent in an outage may lie stranded for half an hour before this finds
#: them, so that a minute more does not matter.
_LOOK_S = 60.0


class LentGrants:
    """Look for a router's own stuck grants, as long as it lives."""

    def __init__(
        self,
        budget_manager: BudgetManager,
        recovery: Recovery,
        seals: SealCalls,
        clock: Callable[[], float],
    ) -> None:
        self._budget_manager = budget_manager
        self._recovery = recovery
        self._seals = seals
        self._clock = clock

    async def run(self) -> None:
        """Look until cancelled."""
        while True:
            await anyio.sleep(_LOOK_S)
            grants = self._budget_manager.stranded_grants(self._clock())
            if grants:
                await self._seals.learn_targets()
            for grant_id in grants:
                state = await self._recovery.recover_grant(grant_id)
                if state.done:
                    self._budget_manager.record_recovered_grant(grant_id)
