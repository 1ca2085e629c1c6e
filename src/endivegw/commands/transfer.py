"""Write a whole configuration to a file and take one in."""

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

#: Documents in one change: a transaction holds 100 items, three of which are
#: the revision, the change and the operation; and the change's row, which
#: holds the documents whole, must stay below the 400 KB of a table's row.
MAX_EDITS = 40

#: Templates before the accounts that need them.
_ORDER = {DocumentKind.TEMPLATE: 0, DocumentKind.TARGET: 1, DocumentKind.ACCOUNT: 2}


async def import_documents(
    table: TablePort, operation: Operation, wanted: Documents, *, prune: bool = False
) -> Result[tuple[Outcome, ...]]:
    """Make the stored configuration equal to ``wanted``, in as few changes as fit.

    :param prune: also remove documents that ``wanted`` lacks.
    """
    missing = _missing_templates(wanted)
    if missing:
        return Refused(Reason.BAD_REQUEST, f"no template named {missing[0]}")
    present = await load_documents(table, timeout_s=operation.timeout_s)
    if not isinstance(present, Done):
        return present
    versions = await load_document_versions(table, timeout_s=operation.timeout_s)
    if not isinstance(versions, Done):
        return versions
    edits = _edits(present.value, versions.value, wanted, prune)
    outcomes: list[Outcome] = []
    revision = present.value.revision
    for number, start in enumerate(range(0, len(edits), MAX_EDITS)):
        outcome = await commit(
            table,
            evolve(operation, operation_id=f"{operation.operation_id}-{number}"),
            f"import {len(edits)} documents, part {number + 1}",
            edits[start : start + MAX_EDITS],
            seen_revision=revision,
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
    present: Documents,
    versions: dict[DocumentName, int],
    wanted: Documents,
    prune: bool,
) -> tuple[Edit | Removal, ...]:
    edits: list[Edit | Removal] = []
    for name in sorted(wanted.by_name, key=_rank):
        document: Document = wanted.by_name[name]
        if present.by_name.get(name) != document:
            edits.append(Edit(document, versions.get(name, 0)))
    if prune:
        gone = set(present.by_name) - set(wanted.by_name)
        # Accounts go before their templates.
        for name in sorted(gone, key=_rank, reverse=True):
            edits.append(Removal(name, versions[name]))
    return tuple(edits)


def _rank(name: DocumentName) -> tuple[int, str]:
    return _ORDER[name.kind], name.name
