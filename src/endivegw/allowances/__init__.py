"""Prepaid budgets of routers that call targets themselves.

Each router holds tokens of each budget in a row of the platform's store and
moves them to and from its peers. What it may spend before its next write is
bounded by the row itself, so that whoever reads the row of a dead router knows
the most that it can have spent.
"""

from endivegw.allowances.book import AllowanceBook, Shortage
from endivegw.allowances.funds import Funds, Terms
from endivegw.allowances.keeper import AllowanceKeeper
from endivegw.allowances.options import AllowanceOptions
from endivegw.allowances.reservation import Reservation

__all__ = [
    "AllowanceBook",
    "AllowanceKeeper",
    "AllowanceOptions",
    "Funds",
    "Reservation",
    "Shortage",
    "Terms",
]
