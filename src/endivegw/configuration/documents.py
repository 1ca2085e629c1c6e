"""The configuration as operators write it, and the changes between revisions.

A document is a template, a client account or a target. A change replaces or
removes whole documents and takes the configuration from one revision to the
next; applying it twice is the same as once.
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
    layered,
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
    """What a document is about; the value is part of its row's key."""

    TEMPLATE = "template"
    ACCOUNT = "account"
    TARGET = "target"


@frozen(order=True)
class DocumentName:
    """Name one document."""

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
    """Hold a client account: its template, its keys and its own parameters.

    :param template: "" for an account without one.
    :param parameters: what the account sets over its template.
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
    """Hold what operators say of a target."""

    parameters: TargetParameters

    @property
    def name(self) -> DocumentName:
        """Return the document's name."""
        return DocumentName(DocumentKind.TARGET, self.parameters.target)


Document = TemplateDocument | AccountDocument | TargetDocument


@frozen
class Change:
    """Take the configuration from the revision before to ``revision``.

    :param operation_id: chosen by the operator's command before the write.
    :param at_s: when it was accepted, in seconds since 1970.
    :param puts: documents in their new form, whole.
    """

    revision: ConfigRevision
    operation_id: str
    operator: str
    at_s: float
    summary: str
    puts: tuple[Document, ...] = ()
    removed: tuple[DocumentName, ...] = ()

    def touches(self) -> frozenset[DocumentName]:
        """Return the names of the documents that it replaces or removes."""
        return frozenset(document.name for document in self.puts) | set(self.removed)


@frozen
class Documents:
    """Hold all documents under one revision."""

    revision: ConfigRevision
    by_name: Mapping[DocumentName, Document] = field(factory=dict)

    def template(self, name: str) -> TemplateDocument | None:
        """Return a template, None where there is none of that name."""
        found = self.by_name.get(DocumentName(DocumentKind.TEMPLATE, name))
        return found if isinstance(found, TemplateDocument) else None

    def account(self, name: str) -> AccountDocument | None:
        """Return a client account, None where there is none of that name."""
        found = self.by_name.get(DocumentName(DocumentKind.ACCOUNT, name))
        return found if isinstance(found, AccountDocument) else None

    def target(self, name: str) -> TargetDocument | None:
        """Return a target, None where there is none of that name."""
        found = self.by_name.get(DocumentName(DocumentKind.TARGET, name))
        return found if isinstance(found, TargetDocument) else None

    def accounts_of(self, template: str) -> tuple[AccountDocument, ...]:
        """Return the accounts that use a template."""
        return tuple(
            document
            for document in self.by_name.values()
            if isinstance(document, AccountDocument) and document.template == template
        )


#: What a process knows before it has heard anything.
EMPTY_DOCUMENTS = Documents(ConfigRevision(0))


def apply_change(documents: Documents, change: Change) -> Documents:
    """Return the documents after the next change.

    :raises InvariantError: where the change is not the next one. A gap would
        leave one document behind for good while the revision says otherwise.
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
    """Return what daemons decide by: each account with its template applied."""
    return resolve_changed(EMPTY_SNAPSHOT, documents, frozenset(documents.by_name))


def resolve_changed(
    snapshot: Snapshot, documents: Documents, changed: frozenset[DocumentName]
) -> Snapshot:
    """Return the snapshot of ``documents`` from an earlier one.

    Only what a change touched is worked out again: at 280 accounts with
    99,000 budgets a change of one account must not cost a pass over all of
    them in each of 1,020 processes.
    """
    accounts = dict(snapshot.accounts)
    targets = dict(snapshot.targets)
    for name in _with_accounts_of_templates(documents, changed):
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


def _with_accounts_of_templates(
    documents: Documents, changed: frozenset[DocumentName]
) -> set[DocumentName]:
    templates = {name.name for name in changed if name.kind is DocumentKind.TEMPLATE}
    wanted = set(changed)
    if not templates:
        return wanted
    for name, document in documents.by_name.items():
        if isinstance(document, AccountDocument) and document.template in templates:
            wanted.add(name)
    return wanted


def _resolve_account(
    documents: Documents, account: AccountDocument
) -> AccountParameters:
    template = documents.template(account.template)
    lower = template.parameters if template else Parameters()
    return account_parameters(
        account.client_account,
        layered(lower, account.parameters),
        key_hashes=account.key_hashes,
        template=account.template,
        enabled=account.enabled,
    )
