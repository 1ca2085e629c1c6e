"""Tokens that one request holds until it ends."""

from __future__ import annotations

from attrs import define

from endivegw.types import ClientAccountName

__all__ = ["Reservation"]


@define(eq=False)
class Reservation:
    """Hold the most that one request may consume.

    :ivar open: False once it was settled.
    """

    client_account: ClientAccountName
    tokens: int
    open: bool = True
