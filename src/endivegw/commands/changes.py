"""Common parts of the commands that change the configuration."""

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

__all__ = ["Operation", "Outcome", "commit", "difference", "is_valid_name"]

#: Maximum length of a difference in the history. An account may have hundreds of
#: budgets, which need not all be listed there.
_MAX_DIFFERENCE = 400

_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,63}")


@frozen
class Operation:
    """Identity and options of one run of a command.

    :param operation_id: unique id of the operation; a run that repeats an operation
        has the same id.
    :param operator: name of the operator, for the history.
    :param now_s: time of the run as Unix time.
    :param dry_run: validate the change without writing it.
    :param timeout_s: time limit of each call to the table.
    """

    operation_id: str
    operator: str
    now_s: float
    dry_run: bool = False
    timeout_s: float = 5.0


@frozen
class Outcome:
    """Result of a command.

    :param change: the accepted change; in a dry run, the planned one at revision 0.
    :param dry_run: whether nothing was written.
    """

    change: Change = field()
    dry_run: bool = False


def difference(old: Parameters, new: Parameters) -> str:
    """Describe differences, such as ``weight: 1 -> 2; priority: normal -> urgent``."""
    pieces = []
    for name in PARAMETER_NAMES:
        before, after = getattr(old, name), getattr(new, name)
        if before != after:
            pieces.append(f"{name}: {format_value(before)} -> {format_value(after)}")
    text = "; ".join(pieces)
    if len(text) > _MAX_DIFFERENCE:
        return text[:_MAX_DIFFERENCE] + " ..."
    return text


def is_valid_name(text: str) -> bool:
    """Return whether a text is a valid name of a template, account or target."""
    return _NAME.fullmatch(text) is not None


async def commit(
    table: TablePort,
    operation: Operation,
    summary: str,
    edits: tuple[Edit | Removal, ...],
    *,
    base_revision: ConfigRevision,
    requires: tuple[tuple[DocumentName, int], ...] = (),
    exact: bool = False,
) -> Result[Outcome]:
    """Write the edits as one change; a conflict lists the changes that came first.

    :param summary: description of the change for the history.
    :param base_revision: revision that was read before the documents; a conflict
        lists the changes after it.
    :param requires: versions of other documents that must still be current.
    :param exact: refuse the edits if anything changed since ``base_revision``.
    """
    draft = Draft(
        operation.operation_id,
        operation.operator,
        operation.now_s,
        summary,
        edits,
        requires,
        base_revision if exact else None,
    )
    if operation.dry_run:
        return Done(Outcome(_preview_change(draft), dry_run=True))
    result = await commit_change(table, draft, timeout_s=operation.timeout_s)
    match result:
        case Done(change):
            return Done(Outcome(change))
        case Refused(Reason.CONFLICT):
            return await _with_conflicting_changes(
                table, result, draft, base_revision, operation
            )
    return result


def _preview_change(draft: Draft) -> Change:
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


async def _with_conflicting_changes(
    table: TablePort,
    conflict: Refused,
    draft: Draft,
    base_revision: ConfigRevision,
    operation: Operation,
) -> Refused:
    """Add the changes since the base revision, and their operators, to a conflict."""
    changes = await load_changes(table, base_revision, timeout_s=operation.timeout_s)
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
