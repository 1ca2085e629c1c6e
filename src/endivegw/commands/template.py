"""Create, edit and delete templates."""

from __future__ import annotations

from attrs import frozen

from endivegw.commands.changes import Operation, Outcome, commit, difference, is_name
from endivegw.configuration.commits import Edit, Removal
from endivegw.configuration.documents import (
    DocumentKind,
    DocumentName,
    TemplateDocument,
)
from endivegw.configuration.parameters import Parameters
from endivegw.configuration.store import (
    VersionedDocument,
    load_document,
    load_documents,
    load_revision,
)
from endivegw.results import Done, Reason, Refused, Result
from endivegw.services import TablePort
from endivegw.types import ConfigRevision

__all__ = [
    "SeenTemplate",
    "create_template",
    "delete_template",
    "edit_template",
    "see_template",
]


@frozen
class SeenTemplate:
    """Hold a template as an operator saw it before the edit.

    :param revision: the configuration's, read before the template.
    :param version: the template's row's.
    """

    revision: ConfigRevision
    version: int
    template: TemplateDocument


async def see_template(
    table: TablePort, operation: Operation, template: str
) -> Result[SeenTemplate]:
    """Read a template for an edit."""
    seen = await load_revision(table, timeout_s=operation.timeout_s)
    if not isinstance(seen, Done):
        return seen
    name = DocumentName(DocumentKind.TEMPLATE, template)
    found = await load_document(table, name, timeout_s=operation.timeout_s)
    match found:
        case Done(VersionedDocument(version, TemplateDocument() as document)):
            return Done(SeenTemplate(seen.value, version, document))
        case Done():
            return Refused(Reason.NOT_FOUND, f"no template named {template}")
        case failure:
            return failure


async def create_template(
    table: TablePort, operation: Operation, template: str, parameters: Parameters
) -> Result[Outcome]:
    """Create a template; refused where one of that name exists."""
    if not is_name(template):
        return Refused(Reason.BAD_REQUEST, f"{template!r} is not a name")
    seen = await load_revision(table, timeout_s=operation.timeout_s)
    if not isinstance(seen, Done):
        return seen
    return await commit(
        table,
        operation,
        f"create template {template}",
        (Edit(TemplateDocument(template, parameters), 0),),
        seen_revision=seen.value,
    )


async def edit_template(
    table: TablePort, operation: Operation, seen: SeenTemplate, parameters: Parameters
) -> Result[Outcome]:
    """Replace a template's parameters, unless somebody did so since it was seen."""
    name = seen.template.template
    changed = difference(seen.template.parameters, parameters) or "nothing"
    return await commit(
        table,
        operation,
        f"edit template {name}: {changed}",
        (Edit(TemplateDocument(name, parameters), seen.version),),
        seen_revision=seen.revision,
    )


async def delete_template(
    table: TablePort, operation: Operation, template: str
) -> Result[Outcome]:
    """Delete a template that no account uses.

    Whether an account uses it is a matter of all accounts, so that the
    deletion holds only at the very revision that was looked at: else an
    account created in between would be left without its template.
    """
    seen = await see_template(table, operation, template)
    if not isinstance(seen, Done):
        return seen
    documents = await load_documents(table, timeout_s=operation.timeout_s)
    if not isinstance(documents, Done):
        return documents
    users = [a.client_account for a in documents.value.accounts_of(template)]
    if users:
        shown = ", ".join(sorted(users)[:5])
        detail = f"{len(users)} accounts use template {template}: {shown}"
        return Refused(Reason.CONFLICT, detail)
    name = DocumentName(DocumentKind.TEMPLATE, template)
    return await commit(
        table,
        operation,
        f"delete template {template}",
        (Removal(name, seen.value.version),),
        seen_revision=documents.value.revision,
        exact=True,
    )
