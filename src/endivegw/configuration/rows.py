"""Rows of the configuration in the platform's table.

There is one row for the revision, one per document, one per change, which contains
the changed documents completely, and one per operation id.
"""

from __future__ import annotations

from endivegw.configuration.codec import encode_change, parse_change, parse_document
from endivegw.configuration.documents import (
    Change,
    Document,
    DocumentKind,
    DocumentName,
)
from endivegw.results import Reason, Refused
from endivegw.services import Row, RowKey
from endivegw.types import ConfigRevision

__all__ = [
    "CHANGE_PARTITION",
    "REVISION_KEY",
    "ROW_ERRORS",
    "change_fields",
    "change_key",
    "document_key",
    "document_partition",
    "malformed_row",
    "operation_key",
    "parse_change_row",
    "parse_document_row",
    "parse_revision",
]

REVISION_KEY = RowKey("config", "revision")
CHANGE_PARTITION = "config-change"
_OPERATION_PARTITION = "config-operation"

#: Exceptions raised when parsing a row that was written manually or by a newer version.
#: They must not terminate a daemon, which would also interrupt responses in progress.
#: The daemon keeps its revision, and adoption reports show operators that it lags.
ROW_ERRORS = (
    AttributeError,
    KeyError,
    TypeError,
    ValueError,
    OverflowError,
    RecursionError,
)


def document_partition(kind: DocumentKind) -> str:
    """Return the partition that contains the documents of one kind."""
    return f"config-{kind.value}"


def document_key(name: DocumentName) -> RowKey:
    """Return the key of a document's row."""
    return RowKey(document_partition(name.kind), name.name)


def change_key(revision: int) -> RowKey:
    """Return the key of a change's row; the keys sort by revision."""
    return RowKey(CHANGE_PARTITION, f"{revision:012d}")


def operation_key(operation_id: str) -> RowKey:
    """Return the key of the row that ensures an operation takes effect only once."""
    return RowKey(_OPERATION_PARTITION, operation_id)


def parse_revision(row: Row | None) -> ConfigRevision:
    """Return the revision in its row, or 0 if there is no row."""
    return ConfigRevision(int(row.fields["revision"]) if row else 0)


def change_fields(change: Change) -> dict[str, str | int]:
    """Return the fields of a change's row."""
    return {
        "operation_id": change.operation_id,
        "operator": change.operator,
        "at_ms": int(change.at_s * 1000),
        "summary": change.summary,
        "change": encode_change(change),
    }


def parse_change_row(row: Row) -> Change:
    """Parse a change from its row.

    :raises ROW_ERRORS: if the row is malformed.
    """
    fields = row.fields
    return parse_change(
        int(row.key.sort),
        str(fields["operation_id"]),
        str(fields["operator"]),
        int(fields["at_ms"]) / 1000,
        str(fields["summary"]),
        str(fields["change"]),
    )


def parse_document_row(row: Row) -> Document:
    """Parse a document from its row.

    :raises ROW_ERRORS: if the row is malformed.
    """
    kind = DocumentKind(row.key.partition.removeprefix("config-"))
    name = DocumentName(kind, row.key.sort)
    return parse_document(name, str(row.fields["document"]))


def malformed_row(error: Exception) -> Refused:
    """Return the refusal of a read that found a malformed row."""
    return Refused(Reason.BAD_REQUEST, f"malformed configuration row: {error!r}")
