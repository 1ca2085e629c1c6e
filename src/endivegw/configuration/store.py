"""Read the configuration from the platform's table."""

from __future__ import annotations

from attrs import frozen

from endivegw.configuration.documents import (
    AccountDocument,
    Change,
    Document,
    DocumentKind,
    DocumentName,
    Documents,
    apply_change,
    resolve,
)
from endivegw.configuration.model import AccountParameters, Snapshot
from endivegw.configuration.rows import (
    CHANGE_PARTITION,
    REVISION_KEY,
    ROW_ERRORS,
    document_key,
    document_partition,
    malformed_row,
    parse_change_row,
    parse_document_row,
    parse_revision,
)
from endivegw.exceptions import PlatformError
from endivegw.results import Done, Reason, Refused, Result, Unknown
from endivegw.services import Row, TablePort
from endivegw.types import ConfigRevision

__all__ = [
    "REVISION_KEY",
    "VersionedDocument",
    "load_account_parameters",
    "load_changes",
    "load_document",
    "load_document_versions",
    "load_documents",
    "load_revision",
    "load_snapshot",
]

#: Maximum rows per page of a scan.
_PAGE_ROWS = 1000


@frozen
class VersionedDocument:
    """Hold a document and the version of its row; 0 if there is no row."""

    version: int
    document: Document | None


async def load_revision(
    table: TablePort, *, timeout_s: float
) -> Result[ConfigRevision]:
    """Return the current revision, or 0 if the table is empty."""
    match await table.read((REVISION_KEY,), timeout_s=timeout_s):
        case Done((row,)):
            return Done(parse_revision(row))
        case Refused() | Unknown() as failure:
            return failure
    raise PlatformError(
        "the table did not return exactly one row for a read of one row"
    )


async def load_changes(
    table: TablePort, after: ConfigRevision, *, timeout_s: float
) -> Result[tuple[Change, ...]]:
    """Return all changes after a revision, without gaps.

    Daemons that lag catch up with this single query. The row of a change is written
    together with its revision and never modified, so one read is consistent.
    """
    rows = await _scan(table, CHANGE_PARTITION, f"{after:012d}", timeout_s)
    if not isinstance(rows, Done):
        return rows
    try:
        changes = tuple(parse_change_row(row) for row in rows.value)
    except ROW_ERRORS as error:
        return malformed_row(error)
    for number, change in enumerate(changes, start=after + 1):
        if change.revision != number:
            return Refused(Reason.NOT_FOUND, f"change {number} is missing")
    return Done(changes)


async def load_documents(table: TablePort, *, timeout_s: float) -> Result[Documents]:
    """Return all documents of one revision.

    A change may be committed between reads of two pages. The revision is therefore
    read first and the changes after it are read last. Applying these changes replaces
    each document that may be of a later revision, so that the result is consistent
    without locks or a second pass.
    """
    revision = await load_revision(table, timeout_s=timeout_s)
    if not isinstance(revision, Done):
        return revision
    by_name: dict[DocumentName, Document] = {}
    for kind in DocumentKind:
        rows = await _scan(table, document_partition(kind), None, timeout_s)
        if not isinstance(rows, Done):
            return rows
        try:
            for row in rows.value:
                document = parse_document_row(row)
                by_name[document.name] = document
        except ROW_ERRORS as error:
            return malformed_row(error)
    changes = await load_changes(table, revision.value, timeout_s=timeout_s)
    if not isinstance(changes, Done):
        return changes
    documents = Documents(revision.value, by_name)
    for change in changes.value:
        documents = apply_change(documents, change)
    return Done(documents)


async def load_document_versions(
    table: TablePort, *, timeout_s: float
) -> Result[dict[DocumentName, int]]:
    """Return the row version of each document, for changes of many documents."""
    versions: dict[DocumentName, int] = {}
    for kind in DocumentKind:
        rows = await _scan(table, document_partition(kind), None, timeout_s)
        if not isinstance(rows, Done):
            return rows
        for row in rows.value:
            versions[DocumentName(kind, row.key.sort)] = row.version
    return Done(versions)


async def load_snapshot(table: TablePort, *, timeout_s: float) -> Result[Snapshot]:
    """Return the resolved configuration of one revision."""
    documents = await load_documents(table, timeout_s=timeout_s)
    if not isinstance(documents, Done):
        return documents
    return Done(resolve(documents.value))


async def load_document(
    table: TablePort, name: DocumentName, *, timeout_s: float
) -> Result[VersionedDocument]:
    """Return one document and the version of its row."""
    match await table.read((document_key(name),), timeout_s=timeout_s):
        case Done((None,)):
            return Done(VersionedDocument(0, None))
        case Done((Row() as row,)):
            try:
                return Done(VersionedDocument(row.version, parse_document_row(row)))
            except ROW_ERRORS as error:
                return malformed_row(error)
        case Refused() | Unknown() as failure:
            return failure
    raise PlatformError(
        "the table did not return exactly one row for a read of one row"
    )


async def load_account_parameters(
    table: TablePort, client_account: str, *, timeout_s: float
) -> Result[AccountParameters]:
    """Return the parameters of one account with its template applied."""
    name = DocumentName(DocumentKind.ACCOUNT, client_account)
    account = await load_document(table, name, timeout_s=timeout_s)
    if not isinstance(account, Done):
        return account
    document = account.value.document
    if not isinstance(document, AccountDocument):
        return Refused(Reason.NOT_FOUND, f"no account named {client_account}")
    template_name = DocumentName(DocumentKind.TEMPLATE, document.template)
    template = await load_document(table, template_name, timeout_s=timeout_s)
    if not isinstance(template, Done):
        return template
    by_name: dict[DocumentName, Document] = {name: document}
    if template.value.document is not None:
        by_name[template_name] = template.value.document
    snapshot = resolve(Documents(ConfigRevision(0), by_name))
    return Done(snapshot.accounts[document.client_account])


async def _scan(
    table: TablePort, partition: str, after: str | None, timeout_s: float
) -> Result[tuple[Row, ...]]:
    rows: list[Row] = []
    while True:
        page = await table.scan(
            partition, after=after, limit=_PAGE_ROWS, timeout_s=timeout_s
        )
        if not isinstance(page, Done):
            return page
        rows += page.value.rows
        after = page.value.next_sort
        if after is None:
            return Done(tuple(rows))
