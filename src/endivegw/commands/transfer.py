"""Import a complete configuration."""

from __future__ import annotations

from attrs import evolve

from endivegw.commands.changes import Operation, Outcome, commit
from endivegw.configuration.commits import Edit, Removal
from endivegw.configuration.documents import (
    AccountDocument,
    Document,
    DocumentKind,
    DocumentName,
    Documents,
)
from endivegw.configuration.store import load_document_versions, load_documents
from endivegw.results import Done, Reason, Refused, Result
from endivegw.services import TablePort
from endivegw.types import ConfigRevision

__all__ = ["MAX_EDITS", "import_documents"]

#: Maximum number of documents in one change. A transaction holds 100 items, three of
#: which are the revision, the change and the operation; and the row of the change,
#: which contains the complete documents, must stay below the table's limit of 400 KB.
MAX_EDITS = 40

#: Templates are written before the accounts that refer to them.
_KIND_ORDER = {
    DocumentKind.TEMPLATE: 0,
    DocumentKind.TARGET: 1,
    DocumentKind.ACCOUNT: 2,
}


async def import_documents(
    table: TablePort, operation: Operation, wanted: Documents, *, prune: bool = False
) -> Result[tuple[Outcome, ...]]:
    """Make the stored configuration equal to ``wanted``, in as few changes as possible.

    :param prune: also remove documents that are not in ``wanted``.
    """
    missing = _missing_templates(wanted)
    if missing:
        return Refused(Reason.BAD_REQUEST, f"no template named {missing[0]}")
    current = await load_documents(table, timeout_s=operation.timeout_s)
    if not isinstance(current, Done):
        return current
    versions = await load_document_versions(table, timeout_s=operation.timeout_s)
    if not isinstance(versions, Done):
        return versions
    edits = _edits(current.value, versions.value, wanted, prune)
    outcomes: list[Outcome] = []
    revision = current.value.revision
    for number, start in enumerate(range(0, len(edits), MAX_EDITS)):
        outcome = await commit(
            table,
            evolve(operation, operation_id=f"{operation.operation_id}-{number}"),
            f"import {len(edits)} documents, part {number + 1}",
            edits[start : start + MAX_EDITS],
            base_revision=revision,
            exact=True,
        )
        if not isinstance(outcome, Done):
            return outcome
        outcomes.append(outcome.value)
        revision = ConfigRevision(max(revision, outcome.value.change.revision))
    return Done(tuple(outcomes))


def _missing_templates(wanted: Documents) -> list[str]:
    return [
        document.template
        for document in wanted.by_name.values()
        if isinstance(document, AccountDocument)
        and document.template
        and wanted.template(document.template) is None
    ]


def _edits(
    current: Documents,
    versions: dict[DocumentName, int],
    wanted: Documents,
    prune: bool,
) -> tuple[Edit | Removal, ...]:
    edits: list[Edit | Removal] = []
    for name in sorted(wanted.by_name, key=_write_order):
        document: Document = wanted.by_name[name]
        if current.by_name.get(name) != document:
            edits.append(Edit(document, versions.get(name, 0)))
    if prune:
        obsolete = set(current.by_name) - set(wanted.by_name)
        # Accounts are removed before the templates that they refer to.
        for name in sorted(obsolete, key=_write_order, reverse=True):
            edits.append(Removal(name, versions[name]))
    return tuple(edits)


def _write_order(name: DocumentName) -> tuple[int, str]:
    return _KIND_ORDER[name.kind], name.name
