"""Prepaid budgets: escrowed grants, reservations, sealing and billing."""

from endivegw.budgets.bills import BillLine
from endivegw.budgets.escrow import read_budgets, top_up
from endivegw.budgets.ledger import GrantLedger, GrantUse, SealedGrant
from endivegw.budgets.manager import BudgetManager
from endivegw.budgets.options import BudgetOptions
from endivegw.budgets.transfer import (
    TokenTransferPort,
    TokenTransferRequest,
    TokenTransferResponse,
)
from endivegw.budgets.wallet import Reservation

__all__ = [
    "BillLine",
    "BudgetManager",
    "GrantLedger",
    "GrantUse",
    "BudgetOptions",
    "Reservation",
    "SealedGrant",
    "TokenTransferRequest",
    "TokenTransferResponse",
    "TokenTransferPort",
    "read_budgets",
    "top_up",
]
