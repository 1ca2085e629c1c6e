"""Clients of the platform's services: typed ports with one adapter module each."""

from typing import TYPE_CHECKING

from endivegw.lazy_exports import lazy_exports

if TYPE_CHECKING:
    from endivegw.services.ports import (
        MAX_TRANSACTION_ITEMS,
        Add,
        Check,
        Delete,
        ListedVm,
        ObjectStorePort,
        Page,
        Put,
        Row,
        RowKey,
        RowValue,
        StoredObject,
        TablePort,
        Transaction,
        VmListPort,
        VmState,
        WeightStorePort,
        Write,
    )

__all__ = [
    "Add",
    "Check",
    "Delete",
    "ListedVm",
    "MAX_TRANSACTION_ITEMS",
    "ObjectStorePort",
    "Page",
    "Put",
    "Row",
    "RowKey",
    "RowValue",
    "StoredObject",
    "TablePort",
    "Transaction",
    "VmListPort",
    "VmState",
    "WeightStorePort",
    "Write",
]

__getattr__ = lazy_exports(
    {
        "endivegw.services.ports": (
            "MAX_TRANSACTION_ITEMS",
            "Add",
            "Check",
            "Delete",
            "ListedVm",
            "ObjectStorePort",
            "Page",
            "Put",
            "Row",
            "RowKey",
            "RowValue",
            "StoredObject",
            "TablePort",
            "Transaction",
            "VmListPort",
            "VmState",
            "WeightStorePort",
            "Write",
        ),
    }
)
