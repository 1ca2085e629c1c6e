"""Create, update, drain, resume and stop targets."""

from __future__ import annotations

from attrs import evolve

from endivegw.commands.changes import Operation, Outcome, commit, is_valid_name
from endivegw.configuration.commits import Edit
from endivegw.configuration.documents import (
    DocumentKind,
    DocumentName,
    TargetDocument,
)
from endivegw.configuration.model import TargetParameters
from endivegw.configuration.store import load_document, load_revision
from endivegw.results import Done, Reason, Refused, Result
from endivegw.services import TablePort

__all__ = ["drain_target", "resume_target", "set_target", "stop_target"]


async def set_target(
    table: TablePort, operation: Operation, parameters: TargetParameters
) -> Result[Outcome]:
    """Create a target or replace its parameters.

    A target that is drained or stopped stays drained or stopped.
    """
    name = str(parameters.target)
    if not is_valid_name(name):
        return Refused(Reason.BAD_REQUEST, f"{name!r} is not a valid name")
    base = await load_revision(table, timeout_s=operation.timeout_s)
    if not isinstance(base, Done):
        return base
    found = await _load_target(table, operation, name)
    if not isinstance(found, Done):
        return found
    old, version = found.value
    if old is not None:
        parameters = evolve(parameters, drained=old.drained, stopped=old.stopped)
    return await commit(
        table,
        operation,
        f"set target {name}",
        (Edit(TargetDocument(parameters), version),),
        base_revision=base.value,
    )


async def drain_target(
    table: TablePort, operation: Operation, target: str
) -> Result[Outcome]:
    """Stop sending new work to a target; running work completes."""
    return await _set_state(table, operation, target, "drain", True, False)


async def resume_target(
    table: TablePort, operation: Operation, target: str
) -> Result[Outcome]:
    """Send work to a drained or stopped target again."""
    return await _set_state(table, operation, target, "resume", False, False)


async def stop_target(
    table: TablePort, operation: Operation, target: str
) -> Result[Outcome]:
    """Drain a target; its sidecar exits once running work has completed."""
    return await _set_state(table, operation, target, "stop", True, True)


async def _set_state(
    table: TablePort,
    operation: Operation,
    target: str,
    verb: str,
    drained: bool,
    stopped: bool,
) -> Result[Outcome]:
    base = await load_revision(table, timeout_s=operation.timeout_s)
    if not isinstance(base, Done):
        return base
    found = await _load_target(table, operation, target)
    if not isinstance(found, Done):
        return found
    old, version = found.value
    if old is None:
        return Refused(Reason.NOT_FOUND, f"no target named {target}")
    new = evolve(old, drained=drained, stopped=stopped)
    return await commit(
        table,
        operation,
        f"{verb} target {target}",
        (Edit(TargetDocument(new), version),),
        base_revision=base.value,
    )


async def _load_target(
    table: TablePort, operation: Operation, target: str
) -> Result[tuple[TargetParameters | None, int]]:
    name = DocumentName(DocumentKind.TARGET, target)
    found = await load_document(table, name, timeout_s=operation.timeout_s)
    if not isinstance(found, Done):
        return found
    document = found.value.document
    if not isinstance(document, TargetDocument):
        return Done((None, found.value.version))
    return Done((document.parameters, found.value.version))
