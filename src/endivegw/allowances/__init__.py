"""Prepaid budgets of routers that call targets directly.

Each router holds part of each budget, recorded in its own row in the platform's
store, and lends tokens to and borrows tokens from its peers. The row limits what the
router may spend before its next write, so that any reader of a dead router's row
can compute the most that router can have spent.
"""

from endivegw.allowances.funds import Funds, Terms
from endivegw.allowances.ledger import AllowanceLedger, Shortage
from endivegw.allowances.manager import AllowanceManager
from endivegw.allowances.options import AllowanceOptions
from endivegw.allowances.reservation import Reservation

__all__ = [
    "AllowanceLedger",
    "AllowanceManager",
    "AllowanceOptions",
    "Funds",
    "Reservation",
    "Shortage",
    "Terms",
]
