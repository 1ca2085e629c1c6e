"""Interfaces of the platform's services.

Each service has one small port, so that the adapter for an actual service fits in
one module. Each call returns ``Done``, ``Refused`` or ``Unknown`` within
``timeout_s``.
"""

from __future__ import annotations

import enum
from typing import Mapping, Protocol

from attrs import field, frozen

from endivegw.results import Result
from endivegw.types import AvailabilityZone

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

#: Value of a row's field. :class:`Add` applies to integers only.
RowValue = str | int

#: Maximum number of items in one transaction, as set by common table services.
MAX_TRANSACTION_ITEMS = 100


@frozen(order=True)
class RowKey:
    """Identify a row.

    :param partition: rows of one partition are listed together.
    :param sort: key within the partition, which determines the order of a listing.
    """

    partition: str
    sort: str


@frozen
class Row:
    """Hold one row as it was read.

    :param version: number of writes of the row since it was created, starting at 1.
    """

    key: RowKey
    version: int
    fields: Mapping[str, RowValue]


@frozen
class Put:
    """Write a row, replacing all its fields.

    :param expected_version: version that the row must have, 0 if it must not exist
        yet, or None to write unconditionally.
    """

    key: RowKey
    fields: Mapping[str, RowValue]
    expected_version: int | None


@frozen
class Add:
    """Add to integer fields of an existing row without reading it.

    Additions commute, so that many concurrent writers of one row do not conflict.

    :param deltas: amount to add to each field; negative to subtract.
    :param minimums: minimum value of each field **before** the addition; the
        transaction is refused if a field is below its minimum.
    """

    key: RowKey
    deltas: Mapping[str, int]
    minimums: Mapping[str, int] = field(factory=dict)


@frozen
class Delete:
    """Delete a row if it is at the expected version."""

    key: RowKey
    expected_version: int


@frozen
class Check:
    """Refuse the transaction unless the row is at the expected version (0: absent)."""

    key: RowKey
    expected_version: int


Write = Put | Add | Delete | Check


@frozen
class Transaction:
    """Hold writes that are applied atomically.

    :param writes: at most :data:`MAX_TRANSACTION_ITEMS`, each with a different key.
    """

    writes: tuple[Write, ...]


@frozen
class Page:
    """Hold one page of a listing; ``next_sort`` is None on the last page."""

    rows: tuple[Row, ...]
    next_sort: str | None


class TablePort(Protocol):
    """The transactional table service."""

    async def transact(
        self, transaction: Transaction, *, timeout_s: float
    ) -> Result[None]:
        """Apply all writes or none; refused with ``CONFLICT`` if a condition fails."""

    async def read(
        self, keys: tuple[RowKey, ...], *, timeout_s: float
    ) -> Result[tuple[Row | None, ...]]:
        """Return the rows in the order of the keys, None for each absent row."""

    async def scan(
        self,
        partition: str,
        *,
        prefix: str = "",
        after: str | None = None,
        limit: int = 1000,
        timeout_s: float,
    ) -> Result[Page]:
        """Return rows of a partition in sort order, starting after ``after``.

        :param prefix: restricts the page to sort keys that start with it.
        :param limit: maximum number of rows in the page.
        """


@frozen
class StoredObject:
    """Hold one object and its entity tag, which changes with each write."""

    body: bytes
    tag: str


class ObjectStorePort(Protocol):
    """The object store."""

    async def get(self, name: str, *, timeout_s: float) -> Result[StoredObject]:
        """Return the object; refused with ``NOT_FOUND`` if it does not exist."""

    async def put(
        self, name: str, body: bytes, *, expected_tag: str | None, timeout_s: float
    ) -> Result[str]:
        """Write and return the new tag.

        :param expected_tag: tag that the object must have, "" if it must not exist
            yet, or None to write unconditionally.
        """


class VmState(enum.Enum):
    """State of a virtual machine as reported by the platform."""

    LIVE = "live"
    LEAVING = "leaving"


@frozen
class ListedVm:
    """Hold one entry of the platform's list of virtual machines.

    :param vm: the platform's id of the machine; a replacement has a different id.
    :param address: IP address without a port.
    :param role: ``router`` or ``target``.
    """

    vm: str
    address: str
    availability_zone: AvailabilityZone
    role: str
    state: VmState


class VmListPort(Protocol):
    """The list of virtual machines, which lags behind their actual state."""

    async def list_vms(self, *, timeout_s: float) -> Result[tuple[ListedVm, ...]]:
        """Return the virtual machines that the platform lists."""


class WeightStorePort(Protocol):
    """The rate-limited store of model weights."""

    async def size_bytes(self, name: str, *, timeout_s: float) -> Result[int]:
        """Return the size of the weights of a model or adapter."""
