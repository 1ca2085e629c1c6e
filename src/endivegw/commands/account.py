"""Create client accounts, set their parameters, rotate their keys."""

from __future__ import annotations

import hashlib
import secrets

from attrs import evolve, frozen

from endivegw.commands.changes import Operation, Outcome, commit, difference, is_name
from endivegw.configuration.commits import Edit
from endivegw.configuration.documents import (
    AccountDocument,
    DocumentKind,
    DocumentName,
)
from endivegw.configuration.parameters import Parameters, merge_parameters
from endivegw.configuration.store import load_document, load_revision
from endivegw.results import Done, Reason, Refused, Result
from endivegw.services import TablePort
from endivegw.types import ClientAccountName

__all__ = [
    "CreatedKey",
    "MAX_KEYS",
    "create_account",
    "hash_of_key",
    "new_key",
    "rotate_key",
    "set_account",
]

#: An account has its present key and, while its clients move over, the one
#: before. More would let keys pile up that nobody knows the holder of.
MAX_KEYS = 2

_KEY_PREFIX = "egw_"


@frozen
class CreatedKey:
    """Hold a new key, which is shown once and kept nowhere, and the change."""

    key: str
    outcome: Outcome


def new_key() -> str:
    """Return a bearer key of 256 random bits."""
    return _KEY_PREFIX + secrets.token_urlsafe(32)


def hash_of_key(key: str) -> str:
    """Return the digest under which a key is kept.

    A plain hash is enough: the key is random and long, so that no dictionary
    finds it, and routers hash it for each request.
    """
    return hashlib.sha256(key.encode()).hexdigest()


async def create_account(
    table: TablePort,
    operation: Operation,
    client_account: str,
    *,
    template: str = "",
    parameters: Parameters = Parameters(),
) -> Result[CreatedKey]:
    """Create an account and return its first key."""
    if not is_name(client_account):
        return Refused(Reason.BAD_REQUEST, f"{client_account!r} is not a name")
    seen = await load_revision(table, timeout_s=operation.timeout_s)
    if not isinstance(seen, Done):
        return seen
    requires = await _template_at(table, operation, template)
    if not isinstance(requires, Done):
        return requires
    key = new_key()
    document = AccountDocument(
        ClientAccountName(client_account),
        template,
        (hash_of_key(key),),
        parameters=parameters,
    )
    outcome = await commit(
        table,
        operation,
        f"create account {client_account}",
        (Edit(document, 0),),
        seen_revision=seen.value,
        requires=requires.value,
    )
    return _created(key, document, outcome)


async def set_account(
    table: TablePort,
    operation: Operation,
    client_account: str,
    *,
    parameters: Parameters = Parameters(),
    unset: tuple[str, ...] = (),
    template: str | None = None,
    enabled: bool | None = None,
) -> Result[Outcome]:
    """Change what an account sets over its template.

    :param unset: parameters that shall come from the template again.
    :param template: None to keep the present one, "" for none.
    """
    seen = await load_revision(table, timeout_s=operation.timeout_s)
    if not isinstance(seen, Done):
        return seen
    found = await _account_at(table, operation, client_account)
    if not isinstance(found, Done):
        return found
    old, version = found.value
    new = evolve(
        old,
        parameters=evolve(
            merge_parameters(old.parameters, parameters),
            **{name: None for name in unset},
        ),
        template=old.template if template is None else template,
        enabled=old.enabled if enabled is None else enabled,
    )
    requires = await _template_at(table, operation, new.template)
    if not isinstance(requires, Done):
        return requires
    return await commit(
        table,
        operation,
        _summary(old, new),
        (Edit(new, version),),
        seen_revision=seen.value,
        requires=requires.value,
    )


async def rotate_key(
    table: TablePort,
    operation: Operation,
    client_account: str,
    *,
    keep_old: bool = True,
) -> Result[CreatedKey]:
    """Add a new key; the one before stays good until the next rotation.

    :param keep_old: False to make only the new key good, as after a leak.
    """
    seen = await load_revision(table, timeout_s=operation.timeout_s)
    if not isinstance(seen, Done):
        return seen
    found = await _account_at(table, operation, client_account)
    if not isinstance(found, Done):
        return found
    old, version = found.value
    key = new_key()
    kept = old.key_hashes[-(MAX_KEYS - 1) :] if keep_old else ()
    new = evolve(old, key_hashes=(*kept, hash_of_key(key)))
    what = "rotate the key" if keep_old else "replace all keys"
    outcome = await commit(
        table,
        operation,
        f"{what} of account {client_account}",
        (Edit(new, version),),
        seen_revision=seen.value,
    )
    return _created(key, new, outcome)


def _created(
    key: str, document: AccountDocument, outcome: Result[Outcome]
) -> Result[CreatedKey]:
    """Return the key, unless another run under the same id made another key."""
    if not isinstance(outcome, Done):
        return outcome
    change = outcome.value.change
    if document not in change.puts:
        detail = (
            f"an earlier run did it in revision {change.revision}; its key cannot "
            'be shown again, run "account key rotate"'
        )
        return Refused(Reason.ALREADY_RUN, detail)
    return Done(CreatedKey(key, outcome.value))


def _summary(old: AccountDocument, new: AccountDocument) -> str:
    pieces = []
    if old.template != new.template:
        pieces.append(f"template: {old.template or '-'} -> {new.template or '-'}")
    if old.enabled != new.enabled:
        pieces.append("enable" if new.enabled else "disable")
    changed = difference(old.parameters, new.parameters)
    if changed:
        pieces.append(changed)
    return f"set account {old.client_account}: " + ("; ".join(pieces) or "nothing")


async def _template_at(
    table: TablePort, operation: Operation, template: str
) -> Result[tuple[tuple[DocumentName, int], ...]]:
    """Return the version of a template that must still hold at the write."""
    if not template:
        return Done(())
    name = DocumentName(DocumentKind.TEMPLATE, template)
    found = await load_document(table, name, timeout_s=operation.timeout_s)
    if not isinstance(found, Done):
        return found
    if found.value.document is None:
        return Refused(Reason.NOT_FOUND, f"no template named {template}")
    return Done(((name, found.value.version),))


async def _account_at(
    table: TablePort, operation: Operation, client_account: str
) -> Result[tuple[AccountDocument, int]]:
    name = DocumentName(DocumentKind.ACCOUNT, client_account)
    found = await load_document(table, name, timeout_s=operation.timeout_s)
    if not isinstance(found, Done):
        return found
    document = found.value.document
    if not isinstance(document, AccountDocument):
        return Refused(Reason.NOT_FOUND, f"no account named {client_account}")
    return Done((document, found.value.version))
