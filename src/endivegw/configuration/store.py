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
    MALFORMED,
    REVISION_KEY,
    document_key,
    document_partition,
    malformed,
    parse_change_row,
    parse_document_row,
    revision_of,
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

#: Rows in one page of a listing.
_PAGE_ROWS = 1000


@frozen
class VersionedDocument:
    """Hold a document with its row's version; 0 where there is none."""

    version: int
    document: Document | None


async def load_revision(
    table: TablePort, *, timeout_s: float
) -> Result[ConfigRevision]:
    """Return the present revision, 0 in an empty table."""
    match await table.read((REVISION_KEY,), timeout_s=timeout_s):
        case Done((row,)):
            return Done(revision_of(row))
        case Refused() | Unknown() as failure:
            return failure
    raise PlatformError("the table answered a read of one row with another number")


async def load_changes(
    table: TablePort, after: ConfigRevision, *, timeout_s: float
) -> Result[tuple[Change, ...]]:
    """Return all changes behind a revision, without a gap.

    This is what a daemon reads when it lags: one query, of which each row was
    written with its revision and never changes, so it needs no second look.
    """
    rows = await _scan(table, CHANGE_PARTITION, f"{after:012d}", timeout_s)
    if not isinstance(rows, Done):
        return rows
    try:
        changes = tuple(parse_change_row(row) for row in rows.value)
    except MALFORMED as error:
        return malformed(error)
    for number, change in enumerate(changes, start=after + 1):
        if change.revision != number:
            return Refused(Reason.NOT_FOUND, f"change {number} is missing")
    return Done(changes)


async def load_documents(table: TablePort, *, timeout_s: float) -> Result[Documents]:
    """Return all documents of one revision.

    A change may be committed between two pages. The revision is read first
    and the changes behind it last; applying these over the rows that were read
    replaces each document that could stem from a later revision, so that the
    result is that of one revision without locks or a second pass.
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
        except MALFORMED as error:
            return malformed(error)
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
    """Return the version of each document's row, for a change of many."""
    versions: dict[DocumentName, int] = {}
    for kind in DocumentKind:
        rows = await _scan(table, document_partition(kind), None, timeout_s)
        if not isinstance(rows, Done):
            return rows
        for row in rows.value:
            versions[DocumentName(kind, row.key.sort)] = row.version
    return Done(versions)


async def load_snapshot(table: TablePort, *, timeout_s: float) -> Result[Snapshot]:
    """Return the configuration of one revision as daemons hold it."""
    documents = await load_documents(table, timeout_s=timeout_s)
    if not isinstance(documents, Done):
        return documents
    return Done(resolve(documents.value))


async def load_document(
    table: TablePort, name: DocumentName, *, timeout_s: float
) -> Result[VersionedDocument]:
    """Return one document and its row's version."""
    match await table.read((document_key(name),), timeout_s=timeout_s):
        case Done((None,)):
            return Done(VersionedDocument(0, None))
        case Done((Row() as row,)):
            try:
                return Done(VersionedDocument(row.version, parse_document_row(row)))
            except MALFORMED as error:
                return malformed(error)
        case Refused() | Unknown() as failure:
            return failure
    raise PlatformError("the table answered a read of one row with another number")


async def load_account_parameters(
    table: TablePort, client_account: str, *, timeout_s: float
) -> Result[AccountParameters]:
    """Return one account's parameters with its template applied."""
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
