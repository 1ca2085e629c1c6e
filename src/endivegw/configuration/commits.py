"""Commit changes of the configuration to the table, exactly once or not at all.

A change is one transaction. It writes the documents, conditional on the versions
that the operator read; the revision, conditional on its version; the change under
its revision; and the operation id, which must not exist yet. Revisions therefore
have no gaps, and no two changes have the same revision.
"""

from __future__ import annotations

from attrs import frozen

from endivegw.configuration.codec import document_text
from endivegw.configuration.documents import Change, Document, DocumentName
from endivegw.configuration.rows import (
    REVISION_KEY,
    ROW_ERRORS,
    change_fields,
    change_key,
    document_key,
    malformed_row,
    operation_key,
    parse_change_row,
    parse_revision,
)
from endivegw.results import Done, Reason, Refused, Result, Unknown
from endivegw.services import Check, Delete, Put, Row, TablePort, Transaction, Write
from endivegw.types import ConfigRevision

__all__ = ["Draft", "Edit", "Removal", "commit_change"]

#: Maximum attempts of a commit that conflicts with changes of other documents.
#: Operators make 1,000 changes a day; eight within the few milliseconds of a commit
#: indicate a runaway script, which the operator should learn about.
MAX_REBASES = 8

#: Maximum attempts to determine the outcome of a write whose response was lost.
MAX_RESOLVES = 5

#: Revision in the row of an operation id whose write was abandoned without effect.
_ABANDONED = -1


@frozen
class Edit:
    """Write a document whose row has ``expected_version``; 0 if it must not exist."""

    document: Document
    expected_version: int


@frozen
class Removal:
    """Remove a document whose row has ``expected_version``."""

    name: DocumentName
    expected_version: int


@frozen
class Draft:
    """Hold a change that has no revision yet.

    :param operation_id: unique per command; used to determine the outcome of a write
        whose response was lost.
    :param at_s: time of the change, in seconds since 1970.
    :param edits: documents to write and remove.
    :param requires: documents that must still have the version that was read, such
        as the template of a new account.
    :param exact_revision: if set, the change is refused unless the configuration
        still has this revision; for changes that were validated against all documents.
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
    """Commit a change under the next revision and return the committed change.

    A repeated call with the same operation id changes nothing and returns the
    original change. The call is refused with ``CONFLICT`` if a document no longer has
    the version that the operator read. A concurrent change of other documents is no
    conflict: the commit is retried under the following revision.
    """
    for _ in range(MAX_REBASES):
        keys = (REVISION_KEY, operation_key(draft.operation_id))
        current = await table.read(keys, timeout_s=timeout_s)
        if not isinstance(current, Done):
            return _refusal_of_failed_read(current)
        row, operation = current.value
        if operation is not None:
            return await _previous_outcome(table, operation, timeout_s=timeout_s)
        revision = parse_revision(row)
        if draft.exact_revision is not None and draft.exact_revision != revision:
            return Refused(
                Reason.CONFLICT,
                f"expected revision {draft.exact_revision}, found {revision}",
            )
        change = _make_change(draft, ConfigRevision(revision + 1))
        transaction = _make_transaction(draft, change, row.version if row else 0)
        outcome = await table.transact(transaction, timeout_s=timeout_s)
        if isinstance(outcome, Unknown):
            outcome = await _resolve_operation(table, draft, timeout_s=timeout_s)
        match outcome:
            case Done():
                return Done(change)
            case Refused(Reason.CONFLICT):
                checked = await _check_versions(table, draft, timeout_s=timeout_s)
                if not isinstance(checked, Done):
                    return checked
            case Refused() | Unknown():
                return outcome
    return Refused(
        Reason.CONFLICT, f"other changes were committed first in {MAX_REBASES} attempts"
    )


def _refusal_of_failed_read(failure: Refused | Unknown) -> Refused:
    return Refused(failure.reason, failure.detail)


def _make_change(draft: Draft, revision: ConfigRevision) -> Change:
    return Change(
        revision,
        draft.operation_id,
        draft.operator,
        draft.at_s,
        draft.summary,
        tuple(edit.document for edit in draft.edits if isinstance(edit, Edit)),
        tuple(edit.name for edit in draft.edits if isinstance(edit, Removal)),
    )


def _make_transaction(draft: Draft, change: Change, row_version: int) -> Transaction:
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
    """Determine whether a write whose response was lost took effect.

    Reading the row is not sufficient, because the write may still be in flight and
    take effect after the read. The row of the operation id is therefore written with
    the abandoned marker. If this succeeds, the write can no longer take effect. If the
    row exists already, its content shows which of the two writes came first.
    """
    key = operation_key(draft.operation_id)
    claim = Transaction((Put(key, {"revision": _ABANDONED}, 0),))
    for _ in range(MAX_RESOLVES):
        claimed = await table.transact(claim, timeout_s=timeout_s)
        if isinstance(claimed, Done):
            return Refused(Reason.ANSWER_LOST, "the write did not take effect")
        read = await table.read((key,), timeout_s=timeout_s)
        match read:
            case Done((Row(fields=fields),)) if fields["revision"] == _ABANDONED:
                return Refused(Reason.ANSWER_LOST, "the write did not take effect")
            case Done((Row(),)):
                return Done(None)
    return Unknown(
        Reason.ANSWER_LOST, f"unknown outcome of operation {draft.operation_id}"
    )


async def _check_versions(
    table: TablePort, draft: Draft, *, timeout_s: float
) -> Done[None] | Refused:
    """Refuse if a document of the draft has changed, as a retry would fail again."""
    expected = {name: version for name, version in draft.requires}
    for edit in draft.edits:
        name = edit.document.name if isinstance(edit, Edit) else edit.name
        expected[name] = edit.expected_version
    keys = tuple(document_key(name) for name in expected)
    read = await table.read(keys, timeout_s=timeout_s)
    if not isinstance(read, Done):
        return _refusal_of_failed_read(read)
    for (name, version), row in zip(expected.items(), read.value):
        if (row.version if row else 0) != version:
            return Refused(Reason.CONFLICT, f"{name} was changed concurrently")
    return Done(None)


async def _previous_outcome(
    table: TablePort, operation: Row, *, timeout_s: float
) -> Result[Change]:
    """Return the outcome of an earlier run of the same operation."""
    revision = int(operation.fields["revision"])
    if revision == _ABANDONED:
        detail = f"operation {operation.key.sort} was abandoned; use another id"
        return Refused(Reason.KEY_CONFLICT, detail)
    read = await table.read((change_key(revision),), timeout_s=timeout_s)
    match read:
        case Done((Row() as row,)):
            try:
                return Done(parse_change_row(row))
            except ROW_ERRORS as error:
                return malformed_row(error)
        case Done():
            return Refused(Reason.NOT_FOUND, f"change {revision} is missing")
        case failure:
            return failure
