"""The rows that the configuration keeps in the platform's table.

One revision row; one row for each document; one row for each change, which
holds the changed documents whole; one row for each operation id.
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
    "MALFORMED",
    "REVISION_KEY",
    "change_fields",
    "change_key",
    "document_key",
    "document_partition",
    "malformed",
    "operation_key",
    "parse_change_row",
    "parse_document_row",
    "revision_of",
]

REVISION_KEY = RowKey("config", "revision")
CHANGE_PARTITION = "config-change"
_OPERATION_PARTITION = "config-operation"

#: What parsing raises on a row that somebody wrote by hand, or that a newer
#: version wrote. A daemon must not end over it, which would end the answers in
#: progress too; it keeps the revision that it has, and operators see it lag.
MALFORMED = (KeyError, TypeError, ValueError)


def document_partition(kind: DocumentKind) -> str:
    """Return the partition of the documents of one kind."""
    return f"config-{kind.value}"


def document_key(name: DocumentName) -> RowKey:
    """Return the key of a document's row."""
    return RowKey(document_partition(name.kind), name.name)


def change_key(revision: int) -> RowKey:
    """Return the key of a change's row; they sort by revision."""
    return RowKey(CHANGE_PARTITION, f"{revision:012d}")


def operation_key(operation_id: str) -> RowKey:
    """Return the key of the row that makes an operation take effect once."""
    return RowKey(_OPERATION_PARTITION, operation_id)


def revision_of(row: Row | None) -> ConfigRevision:
    """Return the revision that its row holds, 0 where there is none."""
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
    """Return the change of a row; raises one of :data:`MALFORMED`."""
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
    """Return the document of a row; raises one of :data:`MALFORMED`."""
    kind = DocumentKind(row.key.partition.removeprefix("config-"))
    name = DocumentName(kind, row.key.sort)
    return parse_document(name, str(row.fields["document"]))


def malformed(error: Exception) -> Refused:
    """Return the refusal of a read that met such a row."""
    return Refused(Reason.BAD_REQUEST, f"malformed row of configuration: {error!r}")
