"""Create, edit and delete templates."""

from __future__ import annotations

from attrs import frozen

from endivegw.commands.changes import (
    Operation,
    Outcome,
    commit,
    difference,
    is_valid_name,
)
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
    "LoadedTemplate",
    "create_template",
    "delete_template",
    "edit_template",
    "load_template",
]


@frozen
class LoadedTemplate:
    """A template as it was before an edit.

    :param revision: revision of the configuration, read before the template.
    :param version: version of the template's row.
    :param template: the template.
    """

    revision: ConfigRevision
    version: int
    template: TemplateDocument


async def load_template(
    table: TablePort, operation: Operation, template: str
) -> Result[LoadedTemplate]:
    """Read a template for an edit."""
    base = await load_revision(table, timeout_s=operation.timeout_s)
    if not isinstance(base, Done):
        return base
    name = DocumentName(DocumentKind.TEMPLATE, template)
    found = await load_document(table, name, timeout_s=operation.timeout_s)
    match found:
        case Done(VersionedDocument(version, TemplateDocument() as document)):
            return Done(LoadedTemplate(base.value, version, document))
        case Done():
            return Refused(Reason.NOT_FOUND, f"no template named {template}")
        case failure:
            return failure


async def create_template(
    table: TablePort, operation: Operation, template: str, parameters: Parameters
) -> Result[Outcome]:
    """Create a template; refused if one of that name exists."""
    if not is_valid_name(template):
        return Refused(Reason.BAD_REQUEST, f"{template!r} is not a valid name")
    base = await load_revision(table, timeout_s=operation.timeout_s)
    if not isinstance(base, Done):
        return base
    return await commit(
        table,
        operation,
        f"create template {template}",
        (Edit(TemplateDocument(template, parameters), 0),),
        base_revision=base.value,
    )


async def edit_template(
    table: TablePort,
    operation: Operation,
    loaded: LoadedTemplate,
    parameters: Parameters,
) -> Result[Outcome]:
    """Replace a template's parameters; refused if it changed since it was loaded."""
    name = loaded.template.template
    changed = difference(loaded.template.parameters, parameters) or "nothing"
    return await commit(
        table,
        operation,
        f"edit template {name}: {changed}",
        (Edit(TemplateDocument(name, parameters), loaded.version),),
        base_revision=loaded.revision,
    )


async def delete_template(
    table: TablePort, operation: Operation, template: str
) -> Result[Outcome]:
    """Delete a template that no account uses.

    The check covers all accounts, so that the deletion is valid only at the
    revision that was checked: otherwise an account that is created in between would
    refer to a deleted template.
    """
    loaded = await load_template(table, operation, template)
    if not isinstance(loaded, Done):
        return loaded
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
        (Removal(name, loaded.value.version),),
        base_revision=documents.value.revision,
        exact=True,
    )
