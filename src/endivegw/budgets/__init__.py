"""Prepaid budgets: escrowed grants, reservations, sealing, billing."""

from endivegw.budgets.bills import BillLine
from endivegw.budgets.escrow import read_budgets, top_up
from endivegw.budgets.keeper import BudgetKeeper
from endivegw.budgets.ledger import GrantLedger, GrantUse, SealedGrant
from endivegw.budgets.options import KeeperOptions
from endivegw.budgets.transfer import TransferAsk, TransferOffer, TransferPort
from endivegw.budgets.wallet import Reservation

__all__ = [
    "BillLine",
    "BudgetKeeper",
    "GrantLedger",
    "GrantUse",
    "KeeperOptions",
    "Reservation",
    "SealedGrant",
    "TransferAsk",
    "TransferOffer",
    "TransferPort",
    "read_budgets",
    "top_up",
]
