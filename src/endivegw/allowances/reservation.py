"""Tokens that one request holds until it ends."""

from __future__ import annotations

from attrs import define

from endivegw.allowances.funds import Funds

__all__ = ["Reservation"]


@define(eq=False)
class Reservation:
    """Tokens reserved for one request until it ends.

    :ivar funds: the funds in which the reservation is counted. The router may start
        over with new funds for the account while the request runs; tokens released
        there instead would appear from nowhere and could be spent twice.
    :ivar open: False once the reservation is settled.
    :ivar counted_s: when the tokens were added to the measured demand.
    """

    funds: Funds
    tokens: int
    open: bool = True
    counted_s: float | None = None
