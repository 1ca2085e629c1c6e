"""What all commands share that change the configuration."""

from __future__ import annotations

import re

from attrs import evolve, field, frozen

from endivegw.configuration.commits import Draft, Edit, Removal, commit_change
from endivegw.configuration.documents import Change, DocumentName
from endivegw.configuration.ini import format_value
from endivegw.configuration.parameters import PARAMETER_NAMES, Parameters
from endivegw.configuration.store import load_changes
from endivegw.results import Done, Reason, Refused, Result
from endivegw.services import TablePort
from endivegw.types import ConfigRevision

__all__ = ["Operation", "Outcome", "commit", "difference", "is_name"]

#: An account may have hundreds of budgets; a history line need not name them.
_MAX_DIFFERENCE = 400

_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,63}")


@frozen
class Operation:
    """Hold who runs a command, when, and under which id.

    :param operation_id: chosen once for the command; no two share one.
    :param now_s: seconds since 1970.
    :param dry_run: check everything and write nothing.
    :param timeout_s: for each call of the table.
    """

    operation_id: str
    operator: str
    now_s: float
    dry_run: bool = False
    timeout_s: float = 5.0


@frozen
class Outcome:
    """Say what a command did.

    :param change: as it was accepted; with revision 0 after a dry run.
    """

    change: Change = field()
    dry_run: bool = False


def difference(old: Parameters, new: Parameters) -> str:
    """Return what differs, such as ``weight: 1 -> 2; priority: normal -> urgent``."""
    pieces = []
    for name in PARAMETER_NAMES:
        before, after = getattr(old, name), getattr(new, name)
        if before != after:
            pieces.append(f"{name}: {format_value(before)} -> {format_value(after)}")
    text = "; ".join(pieces)
    if len(text) > _MAX_DIFFERENCE:
        return text[:_MAX_DIFFERENCE] + " ..."
    return text


def is_name(text: str) -> bool:
    """Return whether a template, account or target may be called so."""
    return _NAME.fullmatch(text) is not None


async def commit(
    table: TablePort,
    operation: Operation,
    summary: str,
    edits: tuple[Edit | Removal, ...],
    *,
    seen_revision: ConfigRevision,
    requires: tuple[tuple[DocumentName, int], ...] = (),
    exact: bool = False,
) -> Result[Outcome]:
    """Write the edits as one change, or say who came first and with what.

    :param seen_revision: the revision that was read before the documents; the
        changes behind it are shown in a conflict.
    :param exact: refuse where anything changed since ``seen_revision``.
    """
    draft = Draft(
        operation.operation_id,
        operation.operator,
        operation.now_s,
        summary,
        edits,
        requires,
        seen_revision if exact else None,
    )
    if operation.dry_run:
        return Done(Outcome(_dry_change(draft), dry_run=True))
    result = await commit_change(table, draft, timeout_s=operation.timeout_s)
    match result:
        case Done(change):
            return Done(Outcome(change))
        case Refused(Reason.CONFLICT):
            return await _explained(table, result, draft, seen_revision, operation)
    return result


def _dry_change(draft: Draft) -> Change:
    puts = tuple(edit.document for edit in draft.edits if isinstance(edit, Edit))
    removed = tuple(edit.name for edit in draft.edits if isinstance(edit, Removal))
    return Change(
        ConfigRevision(0),
        draft.operation_id,
        draft.operator,
        draft.at_s,
        draft.summary,
        puts,
        removed,
    )


async def _explained(
    table: TablePort,
    conflict: Refused,
    draft: Draft,
    seen_revision: ConfigRevision,
    operation: Operation,
) -> Refused:
    """Add to a conflict what was changed by whom since the operator looked."""
    changes = await load_changes(table, seen_revision, timeout_s=operation.timeout_s)
    if not isinstance(changes, Done):
        return conflict
    names = {name for name, _ in draft.requires}
    for edit in draft.edits:
        names.add(edit.document.name if isinstance(edit, Edit) else edit.name)
    exact = draft.exact_revision is not None
    lines = [
        f"revision {change.revision} by {change.operator}: {change.summary}"
        for change in changes.value
        if exact or change.affected_documents() & names
    ]
    return evolve(conflict, detail="\n".join([conflict.detail, *lines]))
