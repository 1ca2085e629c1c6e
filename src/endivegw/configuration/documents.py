"""Configuration documents as written by operators, and changes between revisions.

A document is a template, a client account or a target. A change replaces or removes
complete documents and moves the configuration from one revision to the next.
Changes are idempotent.
"""

from __future__ import annotations

import enum
from typing import Mapping

from attrs import evolve, field, frozen

from endivegw.configuration.model import (
    EMPTY_SNAPSHOT,
    AccountParameters,
    Snapshot,
    TargetParameters,
)
from endivegw.configuration.parameters import (
    Parameters,
    account_parameters,
    merge_parameters,
)
from endivegw.exceptions import InvariantError
from endivegw.types import ClientAccountName, ConfigRevision

__all__ = [
    "AccountDocument",
    "Change",
    "Document",
    "DocumentKind",
    "DocumentName",
    "Documents",
    "EMPTY_DOCUMENTS",
    "TargetDocument",
    "TemplateDocument",
    "apply_change",
    "resolve",
    "resolve_changed",
]


class DocumentKind(enum.Enum):
    """Kind of a document; the value is part of the key of its row."""

    TEMPLATE = "template"
    ACCOUNT = "account"
    TARGET = "target"


@frozen(order=True)
class DocumentName:
    """Identify a document by its kind and name."""

    kind: DocumentKind = field(order=lambda kind: kind.value)
    name: str

    def __str__(self) -> str:
        return f"{self.kind.value} {self.name}"


@frozen
class TemplateDocument:
    """Hold parameters that many accounts share."""

    template: str
    parameters: Parameters

    @property
    def name(self) -> DocumentName:
        """Return the document's name."""
        return DocumentName(DocumentKind.TEMPLATE, self.template)


@frozen
class AccountDocument:
    """Hold a client account: its template, keys and parameters.

    :param template: name of the template; "" if the account has none.
    :param parameters: parameters that override those of the template.
    """

    client_account: ClientAccountName
    template: str = ""
    key_hashes: tuple[str, ...] = ()
    enabled: bool = True
    parameters: Parameters = Parameters()

    @property
    def name(self) -> DocumentName:
        """Return the document's name."""
        return DocumentName(DocumentKind.ACCOUNT, self.client_account)


@frozen
class TargetDocument:
    """Hold the configuration of a target."""

    parameters: TargetParameters

    @property
    def name(self) -> DocumentName:
        """Return the document's name."""
        return DocumentName(DocumentKind.TARGET, self.parameters.target)


Document = TemplateDocument | AccountDocument | TargetDocument


@frozen
class Change:
    """Move the configuration from the previous revision to ``revision``.

    :param operation_id: chosen by the operator's command before the write.
    :param at_s: when the change was accepted, in seconds since 1970.
    :param puts: new versions of documents, complete.
    :param removed: names of removed documents.
    """

    revision: ConfigRevision
    operation_id: str
    operator: str
    at_s: float
    summary: str
    puts: tuple[Document, ...] = ()
    removed: tuple[DocumentName, ...] = ()

    def affected_documents(self) -> frozenset[DocumentName]:
        """Return the names of the documents that are replaced or removed."""
        return frozenset(document.name for document in self.puts) | set(self.removed)


@frozen
class Documents:
    """Hold all documents of one revision."""

    revision: ConfigRevision
    by_name: Mapping[DocumentName, Document] = field(factory=dict)

    def template(self, name: str) -> TemplateDocument | None:
        """Return a template, or None if there is none with this name."""
        document = self.by_name.get(DocumentName(DocumentKind.TEMPLATE, name))
        return document if isinstance(document, TemplateDocument) else None

    def account(self, name: str) -> AccountDocument | None:
        """Return a client account, or None if there is none with this name."""
        document = self.by_name.get(DocumentName(DocumentKind.ACCOUNT, name))
        return document if isinstance(document, AccountDocument) else None

    def target(self, name: str) -> TargetDocument | None:
        """Return a target, or None if there is none with this name."""
        document = self.by_name.get(DocumentName(DocumentKind.TARGET, name))
        return document if isinstance(document, TargetDocument) else None

    def accounts_of(self, template: str) -> tuple[AccountDocument, ...]:
        """Return the accounts that use a template."""
        return tuple(
            document
            for document in self.by_name.values()
            if isinstance(document, AccountDocument) and document.template == template
        )


#: Documents of a process that has not received a configuration yet.
EMPTY_DOCUMENTS = Documents(ConfigRevision(0))


def apply_change(documents: Documents, change: Change) -> Documents:
    """Return the documents after applying the next change.

    :raises InvariantError: if the change does not follow the revision directly. A gap
        would leave a document permanently outdated under a newer revision.
    """
    if change.revision != documents.revision + 1:
        raise InvariantError(
            f"change {change.revision} does not follow revision {documents.revision}"
        )
    by_name = dict(documents.by_name)
    for document in change.puts:
        by_name[document.name] = document
    for name in change.removed:
        by_name.pop(name, None)
    return Documents(change.revision, by_name)


def resolve(documents: Documents) -> Snapshot:
    """Return the snapshot of the documents, with templates applied to accounts."""
    return resolve_changed(EMPTY_SNAPSHOT, documents, frozenset(documents.by_name))


def resolve_changed(
    snapshot: Snapshot, documents: Documents, changed: frozenset[DocumentName]
) -> Snapshot:
    """Return the snapshot of ``documents``, updated from an earlier snapshot.

    Only the changed documents are resolved again. With 280 accounts and 99,000
    budgets, a change of one account must not require a pass over all accounts in each
    of 1,020 processes.
    """
    accounts = dict(snapshot.accounts)
    targets = dict(snapshot.targets)
    for name in _include_accounts_of_templates(documents, changed):
        match documents.by_name.get(name), name.kind:
            case AccountDocument() as account, _:
                accounts[account.client_account] = _resolve_account(documents, account)
            case TargetDocument(parameters), _:
                targets[parameters.target] = parameters
            case None, DocumentKind.ACCOUNT:
                accounts.pop(ClientAccountName(name.name), None)
            case None, DocumentKind.TARGET:
                targets = {
                    target: value
                    for target, value in targets.items()
                    if target != name.name
                }
    return evolve(
        snapshot, revision=documents.revision, accounts=accounts, targets=targets
    )


def _include_accounts_of_templates(
    documents: Documents, changed: frozenset[DocumentName]
) -> set[DocumentName]:
    templates = {name.name for name in changed if name.kind is DocumentKind.TEMPLATE}
    names = set(changed)
    if not templates:
        return names
    for name, document in documents.by_name.items():
        if isinstance(document, AccountDocument) and document.template in templates:
            names.add(name)
    return names


def _resolve_account(
    documents: Documents, account: AccountDocument
) -> AccountParameters:
    template = documents.template(account.template)
    inherited = template.parameters if template else Parameters()
    return account_parameters(
        account.client_account,
        merge_parameters(inherited, account.parameters),
        key_hashes=account.key_hashes,
        template=account.template,
        enabled=account.enabled,
    )
