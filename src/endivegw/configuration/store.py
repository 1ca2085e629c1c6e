"""The configuration in the platform's table.

Rows: one revision row; one row for each document; one row for each change,
which holds the changed documents whole; one row for each operation id. A
change writes all of these in one transaction under the expected version of
the revision row, so that revisions have no gaps and no two changes share one.
"""

from __future__ import annotations

from attrs import frozen

from endivegw.configuration.codec import (
    document_text,
    encode_change,
    parse_change,
    parse_document,
)
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
from endivegw.exceptions import PlatformError
from endivegw.platform import (
    Check,
    Delete,
    Put,
    Row,
    RowKey,
    TablePort,
    Transaction,
    Write,
)
from endivegw.results import Done, Reason, Refused, Result, Unknown
from endivegw.types import ConfigRevision

__all__ = [
    "Draft",
    "Edit",
    "REVISION_KEY",
    "Removal",
    "VersionedDocument",
    "commit_change",
    "load_account_parameters",
    "load_changes",
    "load_document",
    "load_document_versions",
    "load_documents",
    "load_revision",
    "load_snapshot",
]

REVISION_KEY = RowKey("config", "revision")
_CHANGES = "config-change"
_OPERATIONS = "config-operation"

#: Rows in one page of a listing.
_PAGE_ROWS = 1000

#: How often a commit starts again because another document was changed in
#: between. Operators make 1,000 changes a day; eight in one commit's few
#: milliseconds means that a script runs wild, and the operator should know.
MAX_REBASES = 8

#: How often the outcome of a write is asked for after its answer was lost.
MAX_RESOLVES = 5

#: What parsing raises on a row that somebody wrote by hand, or that a newer
#: version wrote. A daemon must not end over it, which would end the answers in
#: progress too; it keeps the revision that it has, and operators see it lag.
_MALFORMED = (KeyError, TypeError, ValueError)

#: Marks an operation id whose write was given up before it took effect.
_ABANDONED = -1


@frozen
class VersionedDocument:
    """Hold a document with its row's version; 0 where there is none."""

    version: int
    document: Document | None


@frozen
class Edit:
    """Write a document whose row is at ``expected_version`` (0: absent)."""

    document: Document
    expected_version: int


@frozen
class Removal:
    """Remove a document whose row is at ``expected_version``."""

    name: DocumentName
    expected_version: int


@frozen
class Draft:
    """Hold a change before it has a revision.

    :param operation_id: chosen once for one command, so that a lost answer
        can be resolved.
    :param edits: documents to write and remove.
    :param requires: documents that must still be at the version that was
        read, such as the template of a new account.
    :param exact_revision: where set, the change is refused unless the whole
        configuration is still at this revision; for a change that was
        checked against all documents.
    """

    operation_id: str
    operator: str
    at_s: float
    summary: str
    edits: tuple[Edit | Removal, ...]
    requires: tuple[tuple[DocumentName, int], ...] = ()
    exact_revision: ConfigRevision | None = None


def _document_key(name: DocumentName) -> RowKey:
    return RowKey(f"config-{name.kind.value}", name.name)


def _change_key(revision: int) -> RowKey:
    return RowKey(_CHANGES, f"{revision:012d}")


async def load_revision(
    table: TablePort, *, timeout_s: float
) -> Result[ConfigRevision]:
    """Return the present revision, 0 in an empty table."""
    match await table.read((REVISION_KEY,), timeout_s=timeout_s):
        case Done((row,)):
            return Done(_revision_of(row))
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
    rows = await _scan(table, _CHANGES, f"{after:012d}", timeout_s)
    if not isinstance(rows, Done):
        return rows
    try:
        changes = tuple(_parse_change_row(row) for row in rows.value)
    except _MALFORMED as error:
        return _malformed(error)
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
        rows = await _scan(table, f"config-{kind.value}", None, timeout_s)
        if not isinstance(rows, Done):
            return rows
        try:
            for row in rows.value:
                document = _parse_document_row(row)
                by_name[document.name] = document
        except _MALFORMED as error:
            return _malformed(error)
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
        rows = await _scan(table, f"config-{kind.value}", None, timeout_s)
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
    match await table.read((_document_key(name),), timeout_s=timeout_s):
        case Done((None,)):
            return Done(VersionedDocument(0, None))
        case Done((Row() as row,)):
            try:
                return Done(VersionedDocument(row.version, _parse_document_row(row)))
            except _MALFORMED as error:
                return _malformed(error)
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


async def commit_change(
    table: TablePort, draft: Draft, *, timeout_s: float
) -> Result[Change]:
    """Write a change under the next revision; return it as it took effect.

    The same operation id, run again, changes nothing and returns the change
    that it made. Refused with ``CONFLICT`` where a document is no longer at
    the version that the operator saw. A change of other documents in between
    is no conflict: the change is written again behind it.
    """
    for _ in range(MAX_REBASES):
        keys = (REVISION_KEY, _operation_key(draft))
        current = await table.read(keys, timeout_s=timeout_s)
        if not isinstance(current, Done):
            return _not_written(current)
        row, operation = current.value
        if operation is not None:
            return await _outcome_before(table, operation, timeout_s=timeout_s)
        revision = _revision_of(row)
        if draft.exact_revision is not None and draft.exact_revision != revision:
            return Refused(Reason.CONFLICT, f"the revision is {revision} now")
        change = _change_of(draft, ConfigRevision(revision + 1))
        transaction = _transaction_of(draft, change, row.version if row else 0)
        outcome = await table.transact(transaction, timeout_s=timeout_s)
        if isinstance(outcome, Unknown):
            outcome = await _resolve_operation(table, draft, timeout_s=timeout_s)
        match outcome:
            case Done():
                return Done(change)
            case Refused(Reason.CONFLICT):
                held = await _versions_hold(table, draft, timeout_s=timeout_s)
                if not isinstance(held, Done):
                    return held
            case Refused() | Unknown():
                return outcome
    return Refused(Reason.CONFLICT, "other changes came first, again and again")


def _not_written(failure: Refused | Unknown) -> Refused:
    return Refused(failure.reason, failure.detail)


def _malformed(error: Exception) -> Refused:
    return Refused(Reason.BAD_REQUEST, f"malformed row of configuration: {error!r}")


def _revision_of(row: Row | None) -> ConfigRevision:
    return ConfigRevision(int(row.fields["revision"]) if row else 0)


def _change_of(draft: Draft, revision: ConfigRevision) -> Change:
    return Change(
        revision,
        draft.operation_id,
        draft.operator,
        draft.at_s,
        draft.summary,
        tuple(edit.document for edit in draft.edits if isinstance(edit, Edit)),
        tuple(edit.name for edit in draft.edits if isinstance(edit, Removal)),
    )


def _transaction_of(draft: Draft, change: Change, row_version: int) -> Transaction:
    writes: list[Write] = [
        Put(REVISION_KEY, {"revision": change.revision}, row_version),
        Put(_change_key(change.revision), _change_fields(change), 0),
        Put(_operation_key(draft), {"revision": change.revision}, 0),
    ]
    for edit in draft.edits:
        match edit:
            case Edit(document, version):
                fields = {"document": document_text(document)}
                writes.append(Put(_document_key(document.name), fields, version))
            case Removal(name, version):
                writes.append(Delete(_document_key(name), version))
    for name, version in draft.requires:
        writes.append(Check(_document_key(name), version))
    return Transaction(tuple(writes))


def _operation_key(draft: Draft) -> RowKey:
    return RowKey(_OPERATIONS, draft.operation_id)


async def _resolve_operation(
    table: TablePort, draft: Draft, *, timeout_s: float
) -> Result[None]:
    """Find out whether a write took effect whose answer was lost.

    Reading back is not enough: the write may still be under way and take
    effect after the look. So the row of the operation id is claimed for
    "abandoned". Where that succeeds the write can never take effect any more;
    where the row exists, the row says which of the two came first.
    """
    key = _operation_key(draft)
    claim = Transaction((Put(key, {"revision": _ABANDONED}, 0),))
    for _ in range(MAX_RESOLVES):
        claimed = await table.transact(claim, timeout_s=timeout_s)
        if isinstance(claimed, Done):
            return Refused(Reason.ANSWER_LOST, "the write did not reach the table")
        read = await table.read((key,), timeout_s=timeout_s)
        match read:
            case Done((Row(fields=fields),)) if fields["revision"] == _ABANDONED:
                return Refused(Reason.ANSWER_LOST, "the write did not reach the table")
            case Done((Row(),)):
                return Done(None)
    return Unknown(Reason.ANSWER_LOST, f"look for operation {draft.operation_id}")


async def _versions_hold(
    table: TablePort, draft: Draft, *, timeout_s: float
) -> Done[None] | Refused:
    """Refuse where a document itself has moved on, so that a new start is in vain."""
    expected = {name: version for name, version in draft.requires}
    for edit in draft.edits:
        name = edit.document.name if isinstance(edit, Edit) else edit.name
        expected[name] = edit.expected_version
    keys = tuple(_document_key(name) for name in expected)
    read = await table.read(keys, timeout_s=timeout_s)
    if not isinstance(read, Done):
        return _not_written(read)
    for (name, version), row in zip(expected.items(), read.value):
        if (row.version if row else 0) != version:
            return Refused(Reason.CONFLICT, f"{name} was changed in between")
    return Done(None)


async def _outcome_before(
    table: TablePort, operation: Row, *, timeout_s: float
) -> Result[Change]:
    """Return what an earlier run of the same operation did."""
    revision = int(operation.fields["revision"])
    if revision == _ABANDONED:
        detail = f"operation {operation.key.sort} was given up; use another id"
        return Refused(Reason.KEY_CONFLICT, detail)
    read = await table.read((_change_key(revision),), timeout_s=timeout_s)
    match read:
        case Done((Row() as row,)):
            try:
                return Done(_parse_change_row(row))
            except _MALFORMED as error:
                return _malformed(error)
        case Done():
            return Refused(Reason.NOT_FOUND, f"change {revision} is missing")
        case failure:
            return failure


def _change_fields(change: Change) -> dict[str, str | int]:
    return {
        "operation_id": change.operation_id,
        "operator": change.operator,
        "at_ms": int(change.at_s * 1000),
        "summary": change.summary,
        "change": encode_change(change),
    }


def _parse_change_row(row: Row) -> Change:
    fields = row.fields
    return parse_change(
        int(row.key.sort),
        str(fields["operation_id"]),
        str(fields["operator"]),
        int(fields["at_ms"]) / 1000,
        str(fields["summary"]),
        str(fields["change"]),
    )


def _parse_document_row(row: Row) -> Document:
    kind = DocumentKind(row.key.partition.removeprefix("config-"))
    name = DocumentName(kind, row.key.sort)
    return parse_document(name, str(row.fields["document"]))


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
