"""Interface of a transactional row store with a global revision and a change feed."""

from __future__ import annotations

from typing import Protocol

from attrs import frozen

from endivegw.results import Done, Refused, Unknown

__all__ = [
    "Changes",
    "Conflict",
    "ExpectedRow",
    "HistoryGone",
    "NewRow",
    "RowStorePort",
    "RowsPort",
    "StoreTimestamp",
    "StoredRow",
]


@frozen
class StoreTimestamp:
    """Hold the state of the store's revision and clock when it answered a call.

    :param revision: the newest revision of the store.
    :param now_ms: reading of the store's monotonic clock.
    """

    revision: int
    now_ms: int


@frozen
class StoredRow:
    """Hold one row as it was read.

    :param revision: revision of the transaction that last wrote the row.
    :param deleted: whether that transaction deleted the row.
    """

    table: str
    key: str
    value: bytes
    revision: int
    deleted: bool = False


@frozen
class ExpectedRow:
    """Name a row and the revision that it must have.

    :param revision: 0 if the row must not exist.
    :param partition: transactions within one partition are serialized.
    """

    table: str
    key: str
    revision: int
    partition: str = ""


@frozen
class NewRow:
    """Hold a row to be written."""

    table: str
    key: str
    value: bytes
    partition: str = ""


@frozen
class Conflict:
    """Report that a transaction had no effect, with the current rows it expected."""

    rows: tuple[StoredRow, ...]
    timestamp: StoreTimestamp


@frozen
class Changes:
    """Hold rows of one table, in the order of their revisions."""

    rows: tuple[StoredRow, ...]
    timestamp: StoreTimestamp


@frozen
class HistoryGone:
    """Report that the changes after a revision are no longer available."""


class RowsPort(Protocol):
    """A store whose rows can be listed and written.

    Each write ends within ``timeout_s``. A read may take longer while its response
    keeps arriving; ``timeout_s`` then limits the time without data.
    """

    async def transact(
        self,
        expected: tuple[ExpectedRow, ...],
        puts: tuple[NewRow, ...],
        *,
        deletes: tuple[ExpectedRow, ...] = (),
        timeout_s: float,
    ) -> Done[StoreTimestamp] | Conflict | Refused | Unknown:
        """Apply all writes or none."""

    async def list_rows(
        self, table: str, *, timeout_s: float, partition: str = ""
    ) -> Done[Changes] | Refused | Unknown:
        """Return a consistent snapshot of a table's partition."""


class RowStorePort(RowsPort, Protocol):
    """The platform's row store with its change feed."""

    async def watch(
        self, table: str, after_revision: int, *, wait_s: float, timeout_s: float
    ) -> Done[Changes] | HistoryGone | Refused | Unknown:
        """Return the changes after a revision, as soon as there are any.

        :param wait_s: how long the store may wait for a change.
        """
