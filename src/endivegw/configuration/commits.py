"""Write changes of the configuration, each once or not at all.

A change is one transaction: the documents under the versions that the operator
saw, the revision under its version, the change under its number, and the
operation id, which must not exist yet. So revisions have no gaps and no two
changes share one.
"""

from __future__ import annotations

from attrs import frozen

from endivegw.configuration.codec import document_text
from endivegw.configuration.documents import Change, Document, DocumentName
from endivegw.configuration.rows import (
    MALFORMED,
    REVISION_KEY,
    change_fields,
    change_key,
    document_key,
    malformed,
    operation_key,
    parse_change_row,
    revision_of,
)
from endivegw.results import Done, Reason, Refused, Result, Unknown
from endivegw.services import Check, Delete, Put, Row, TablePort, Transaction, Write
from endivegw.types import ConfigRevision

__all__ = ["Draft", "Edit", "Removal", "commit_change"]

#: How often a commit starts again because another document was changed in
#: between. Operators make 1,000 changes a day; eight in one commit's few
#: milliseconds means that a script runs wild, and the operator should know.
MAX_REBASES = 8

#: How often the outcome of a write is asked for after its answer was lost.
MAX_RESOLVES = 5

#: Marks an operation id whose write was given up before it took effect.
_ABANDONED = -1


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
        keys = (REVISION_KEY, operation_key(draft.operation_id))
        current = await table.read(keys, timeout_s=timeout_s)
        if not isinstance(current, Done):
            return _not_written(current)
        row, operation = current.value
        if operation is not None:
            return await _outcome_before(table, operation, timeout_s=timeout_s)
        revision = revision_of(row)
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
        Put(change_key(change.revision), change_fields(change), 0),
        Put(operation_key(draft.operation_id), {"revision": change.revision}, 0),
    ]
    for edit in draft.edits:
        match edit:
            case Edit(document, version):
                fields = {"document": document_text(document)}
                writes.append(Put(document_key(document.name), fields, version))
            case Removal(name, version):
                writes.append(Delete(document_key(name), version))
    for name, version in draft.requires:
        writes.append(Check(document_key(name), version))
    return Transaction(tuple(writes))


async def _resolve_operation(
    table: TablePort, draft: Draft, *, timeout_s: float
) -> Result[None]:
    """Find out whether a write took effect whose answer was lost.

    Reading back is not enough: the write may still be under way and take
    effect after the look. So the row of the operation id is claimed for
    "abandoned". Where that succeeds the write can never take effect any more;
    where the row exists, the row says which of the two came first.
    """
    key = operation_key(draft.operation_id)
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
    keys = tuple(document_key(name) for name in expected)
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
    read = await table.read((change_key(revision),), timeout_s=timeout_s)
    match read:
        case Done((Row() as row,)):
            try:
                return Done(parse_change_row(row))
            except MALFORMED as error:
                return malformed(error)
        case Done():
            return Refused(Reason.NOT_FOUND, f"change {revision} is missing")
        case failure:
            return failure
