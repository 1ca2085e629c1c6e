"""Recover grants of a live router of which only borrowers still hold tokens."""

from __future__ import annotations

from typing import Callable

import anyio

from endivegw.budgets import BudgetManager
from endivegw.budgets.recovery import Recovery
from endivegw.daemons.seal_calls import SealClient

__all__ = ["StrandedGrantRecovery"]

#: Tokens lent during an outage may be stranded for half an hour before they are
#: found, so a further minute does not matter.
_POLL_INTERVAL_S = 60.0


class StrandedGrantRecovery:
    """Poll for stranded grants of this router and recover them."""

    def __init__(
        self,
        budget_manager: BudgetManager,
        recovery: Recovery,
        seal_client: SealClient,
        clock: Callable[[], float],
    ) -> None:
        self._budget_manager = budget_manager
        self._recovery = recovery
        self._seal_client = seal_client
        self._clock = clock

    async def run(self) -> None:
        """Poll until cancelled."""
        while True:
            await anyio.sleep(_POLL_INTERVAL_S)
            grants = self._budget_manager.stranded_grants(self._clock())
            if grants:
                await self._seal_client.discover_targets()
            for grant_id in grants:
                state = await self._recovery.recover_grant(grant_id)
                if state.done:
                    self._budget_manager.record_recovered_grant(grant_id)
