"""The platform's services as the rest of the package sees them.

One small port per service, so that the adapter for a real service is one
module. Each call ends in done, refused or unknown, within ``timeout_s``.
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

#: A field of a row: whole numbers can be added to, strings cannot.
RowValue = str | int

#: The most items that one transaction may touch, as the common table services set it.
MAX_TRANSACTION_ITEMS = 100


@frozen(order=True)
class RowKey:
    """Name a row: rows of one partition are listed together, in sort order."""

    partition: str
    sort: str


@frozen
class Row:
    """Hold one row as it was read.

    :param version: grows by one with each write of the row, starting at 1.
    """

    key: RowKey
    version: int
    fields: Mapping[str, RowValue]


@frozen
class Put:
    """Write the whole row.

    :param expected_version: 0 where the row must not exist yet, a number where
        it must be at that version, None to write in any case.
    """

    key: RowKey
    fields: Mapping[str, RowValue]
    expected_version: int | None


@frozen
class Add:
    """Add to whole-number fields of a row that exists, without reading it.

    Adding commutes, so that many writers of one hot row do not conflict.

    :param deltas: what is added to each field; negative to subtract.
    :param minimums: the least value that a field may have **before** the
        addition; the transaction is refused where one has less.
    """

    key: RowKey
    deltas: Mapping[str, int]
    minimums: Mapping[str, int] = field(factory=dict)


@frozen
class Delete:
    """Delete the row at the version that was read."""

    key: RowKey
    expected_version: int


@frozen
class Check:
    """Refuse the transaction unless the row is at this version (0: absent)."""

    key: RowKey
    expected_version: int


Write = Put | Add | Delete | Check


@frozen
class Transaction:
    """Hold writes that take effect together or not at all.

    :param writes: at most :data:`MAX_TRANSACTION_ITEMS`, no key twice.
    """

    writes: tuple[Write, ...]


@frozen
class Page:
    """Hold one page of a listing; ``next_sort`` is None on the last one."""

    rows: tuple[Row, ...]
    next_sort: str | None


class TablePort(Protocol):
    """The transactional table service."""

    async def transact(
        self, transaction: Transaction, *, timeout_s: float
    ) -> Result[None]:
        """Write all or nothing; refused with ``CONFLICT`` when a condition fails."""

    async def read(
        self, keys: tuple[RowKey, ...], *, timeout_s: float
    ) -> Result[tuple[Row | None, ...]]:
        """Return the rows in the order of the keys, None for an absent one."""

    async def scan(
        self,
        partition: str,
        *,
        prefix: str = "",
        after: str | None = None,
        limit: int = 1000,
        timeout_s: float,
    ) -> Result[Page]:
        """Return rows of a partition in sort order, behind ``after``."""


@frozen
class StoredObject:
    """Hold one object and the tag that changes with each write of it."""

    body: bytes
    tag: str


class ObjectStorePort(Protocol):
    """The object store."""

    async def get(self, name: str, *, timeout_s: float) -> Result[StoredObject]:
        """Return the object; refused with ``NOT_FOUND`` where there is none."""

    async def put(
        self, name: str, body: bytes, *, expected_tag: str | None, timeout_s: float
    ) -> Result[str]:
        """Write and return the new tag.

        :param expected_tag: the tag that was read, "" where the object must
            not exist yet, None to write in any case.
        """


class VmState(enum.Enum):
    """What the platform says of a virtual machine."""

    LIVE = "live"
    LEAVING = "leaving"


@frozen
class ListedVm:
    """Hold one line of the platform's list of virtual machines.

    :param vm: the platform's id of the machine; a replacement has another.
    :param address: IP address, without a port.
    :param role: what runs there: ``router`` or ``target``.
    """

    vm: str
    address: str
    availability_zone: AvailabilityZone
    role: str
    state: VmState


class VmListPort(Protocol):
    """The list of virtual machines, which lags behind what is true."""

    async def list_vms(self, *, timeout_s: float) -> Result[tuple[ListedVm, ...]]:
        """Return the machines that the platform knows of."""


class WeightStorePort(Protocol):
    """The rate-limited store of model weights."""

    async def size_bytes(self, name: str, *, timeout_s: float) -> Result[int]:
        """Return how large the weights of a model or adapter are."""
