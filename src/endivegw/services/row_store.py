"""The port of a transactional store of rows with one growing revision and a feed."""

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
    "StoreMoment",
    "StoredRow",
]


@frozen
class StoreMoment:
    """Hold when the store answered.

    :param revision: the store's newest revision then.
    :param now_ms: the store's steady clock then.
    """

    revision: int
    now_ms: int


@frozen
class StoredRow:
    """Hold one row as it was read.

    :param revision: of the transaction that wrote it last.
    :param deleted: whether that transaction deleted it.
    """

    table: str
    key: str
    value: bytes
    revision: int
    deleted: bool = False


@frozen
class ExpectedRow:
    """Name a row and the revision that it must have; 0: it must not exist.

    :param partition: rows of one partition are written one transaction after another.
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
    """Say that a transaction did nothing, and hold the rows that it expected."""

    rows: tuple[StoredRow, ...]
    moment: StoreMoment


@frozen
class Changes:
    """Hold rows of one table, in the order of their revisions."""

    rows: tuple[StoredRow, ...]
    moment: StoreMoment


@frozen
class HistoryGone:
    """Say that the changes since a revision are no longer available."""


class RowsPort(Protocol):
    """Rows that are listed and written.

    Each write ends within ``timeout_s``. A read may go on for longer while its answer
    keeps coming; ``timeout_s`` then bounds each silence.
    """

    async def transact(
        self,
        expected: tuple[ExpectedRow, ...],
        puts: tuple[NewRow, ...],
        *,
        deletes: tuple[ExpectedRow, ...] = (),
        timeout_s: float,
    ) -> Done[StoreMoment] | Conflict | Refused | Unknown:
        """Write all or nothing."""

    async def list_rows(
        self, table: str, *, timeout_s: float, partition: str = ""
    ) -> Done[Changes] | Refused | Unknown:
        """Return all rows of a table's partition as of one moment."""


class RowStorePort(RowsPort, Protocol):
    """The platform's store: its rows, and a feed of what changes."""

    async def watch(
        self, table: str, after_revision: int, *, wait_s: float, timeout_s: float
    ) -> Done[Changes] | HistoryGone | Refused | Unknown:
        """Return the changes since a revision, as soon as there is one."""
