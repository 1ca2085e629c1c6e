"""Create client accounts, set their parameters and rotate their keys."""

from __future__ import annotations

import hashlib
import secrets

from attrs import evolve, frozen

from endivegw.commands.changes import (
    Operation,
    Outcome,
    commit,
    difference,
    is_valid_name,
)
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
    "hash_key",
    "new_key",
    "rotate_key",
    "set_account",
]

#: An account has its current key and, while its clients switch over, the previous
#: one. A higher limit would let keys accumulate whose holders nobody knows.
MAX_KEYS = 2

_KEY_PREFIX = "egw_"


@frozen
class CreatedKey:
    """A new key, which is shown once and not stored, and the change that added it."""

    key: str
    outcome: Outcome


def new_key() -> str:
    """Generate a bearer key of 256 random bits."""
    return _KEY_PREFIX + secrets.token_urlsafe(32)


def hash_key(key: str) -> str:
    """Return the digest that is stored for a key.

    An unsalted fast hash is sufficient: the key is long and random, so that a
    dictionary attack cannot find it, and routers hash a key for each request.
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
    if not is_valid_name(client_account):
        return Refused(Reason.BAD_REQUEST, f"{client_account!r} is not a valid name")
    base = await load_revision(table, timeout_s=operation.timeout_s)
    if not isinstance(base, Done):
        return base
    requires = await _template_requirement(table, operation, template)
    if not isinstance(requires, Done):
        return requires
    key = new_key()
    document = AccountDocument(
        ClientAccountName(client_account),
        template,
        (hash_key(key),),
        parameters=parameters,
    )
    outcome = await commit(
        table,
        operation,
        f"create account {client_account}",
        (Edit(document, 0),),
        base_revision=base.value,
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
    """Change the parameters of an account that override its template.

    :param parameters: parameters to set.
    :param unset: parameters to remove, so that the template's apply again.
    :param template: name of the new template, "" for none; None keeps the current one.
    :param enabled: whether to serve the account; None keeps the current state.
    """
    base = await load_revision(table, timeout_s=operation.timeout_s)
    if not isinstance(base, Done):
        return base
    found = await _load_account(table, operation, client_account)
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
    requires = await _template_requirement(table, operation, new.template)
    if not isinstance(requires, Done):
        return requires
    return await commit(
        table,
        operation,
        _summary(old, new),
        (Edit(new, version),),
        base_revision=base.value,
        requires=requires.value,
    )


async def rotate_key(
    table: TablePort,
    operation: Operation,
    client_account: str,
    *,
    keep_old: bool = True,
) -> Result[CreatedKey]:
    """Add a new key; the previous key stays valid until the next rotation.

    :param keep_old: False revokes all older keys at once, for example after a leak.
    """
    base = await load_revision(table, timeout_s=operation.timeout_s)
    if not isinstance(base, Done):
        return base
    found = await _load_account(table, operation, client_account)
    if not isinstance(found, Done):
        return found
    old, version = found.value
    key = new_key()
    retained = old.key_hashes[-(MAX_KEYS - 1) :] if keep_old else ()
    new = evolve(old, key_hashes=(*retained, hash_key(key)))
    action = "rotate the key" if keep_old else "replace all keys"
    outcome = await commit(
        table,
        operation,
        f"{action} of account {client_account}",
        (Edit(new, version),),
        base_revision=base.value,
    )
    return _created(key, new, outcome)


def _created(
    key: str, document: AccountDocument, outcome: Result[Outcome]
) -> Result[CreatedKey]:
    """Return the key, or a refusal if an earlier run with the same id made the key."""
    if not isinstance(outcome, Done):
        return outcome
    change = outcome.value.change
    if document not in change.puts:
        detail = (
            f"an earlier run made the change in revision {change.revision}; its key "
            'cannot be shown again, run "account key rotate"'
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


async def _template_requirement(
    table: TablePort, operation: Operation, template: str
) -> Result[tuple[tuple[DocumentName, int], ...]]:
    """Return the template's version that the write requires; empty without one."""
    if not template:
        return Done(())
    name = DocumentName(DocumentKind.TEMPLATE, template)
    found = await load_document(table, name, timeout_s=operation.timeout_s)
    if not isinstance(found, Done):
        return found
    if found.value.document is None:
        return Refused(Reason.NOT_FOUND, f"no template named {template}")
    return Done(((name, found.value.version),))


async def _load_account(
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
