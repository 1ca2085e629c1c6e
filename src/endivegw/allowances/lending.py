"""Interface of the allowance parts to the other routers."""

from __future__ import annotations

from typing import Callable, Protocol

from attrs import frozen

from endivegw.allowances.witnesses import Statement
from endivegw.types import ClientAccountName, InstanceId

__all__ = ["LendingPort", "PeerSurplus"]


@frozen
class PeerSurplus:
    """What peers last reported about one account.

    :param surplus_tokens: the tokens that they can lend in total.
    :param all_responsive: whether every known router has reported recently.
    :param unresponsive_s: for how long the router that became unresponsive last has
        been so.
    """

    surplus_tokens: int
    all_responsive: bool
    unresponsive_s: float = 0.0


class LendingPort(Protocol):
    """The other routers, as lenders and witnesses."""

    async def request_loan(
        self,
        account: ClientAccountName,
        min_tokens: int,
        wanted_tokens: int,
        *,
        timeout_s: float,
    ) -> int:
        """Request a loan from peers; return how many tokens were credited."""

    async def collect(self, account: ClientAccountName, *, timeout_s: float) -> None:
        """Retrieve an account's leftover tokens from routers that do not hold it."""

    def surplus(self, account: ClientAccountName, now_s: float) -> PeerSurplus:
        """Return what peers last reported about an account."""

    def is_holder(self, account: ClientAccountName) -> bool:
        """Return whether this router is a holder of an account's budget."""

    def unresponsive_vms(self, now_s: float) -> list[str]:
        """Return the vms of unresponsive routers whose rows this router checks."""

    def routers(self, now_s: float) -> int:
        """Return the number of routers, including this one."""

    def witnesses(self, now_s: float) -> tuple[InstanceId, ...]:
        """Return routers that receive and acknowledge this router's statements."""

    async def request_statements(
        self,
        witnesses: tuple[InstanceId, ...],
        about: InstanceId,
        *,
        timeout_s: float,
    ) -> dict[InstanceId, Statement]:
        """Return the last statement that each witness received from a dead process."""

    def send_statement_soon(self) -> None:
        """Send a statement without waiting, because the limits have fallen."""

    async def send_statement(
        self, is_sufficient: Callable[[], bool], *, timeout_s: float
    ) -> None:
        """Send a statement now, and wait until enough witnesses acknowledge it."""
