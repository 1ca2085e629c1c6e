"""Tokens that one request holds until it ends."""

from __future__ import annotations

from attrs import define

from endivegw.allowances.funds import Funds

__all__ = ["Reservation"]


@define(eq=False)
class Reservation:
    """Hold the most that one request may consume.

    :ivar funds: where it is counted. Kept here because the router may start over
        with other funds of the account; freed there, tokens that were counted in
        the old ones would appear from nowhere and could be spent again.
    :ivar open: False once it was settled.
    :ivar noted_s: when it was counted into the measured demand.
    """

    funds: Funds
    tokens: int
    open: bool = True
    noted_s: float | None = None
