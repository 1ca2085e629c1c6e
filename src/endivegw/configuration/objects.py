"""Copy of the configuration in the object store, loaded by new processes first.

There are two objects: a small one contains the revision of the large one, so that a
check transfers only a few bytes. The order in which they are written is irrelevant,
because a process accepts no configuration older than its own.
"""

from __future__ import annotations

import anyio.to_thread

from endivegw.configuration.codec import (
    ConfigMessage,
    DocumentsMessage,
    encode_message,
    parse_message,
)
from endivegw.configuration.documents import Documents
from endivegw.results import Done, Reason, Refused, Result
from endivegw.services import ObjectStorePort
from endivegw.types import ConfigRevision

__all__ = ["read_newer_object", "write_object"]

_REVISION_OBJECT = "config/revision"
_DOCUMENTS_OBJECT = "config/documents"


async def read_newer_object(
    objects: ObjectStorePort, have: ConfigRevision, *, timeout_s: float
) -> Result[ConfigMessage | None]:
    """Return the stored copy, or None if it is not newer than ``have``."""
    stored_revision = await _read_revision(objects, timeout_s=timeout_s)
    if not isinstance(stored_revision, Done):
        return stored_revision
    revision, _ = stored_revision.value
    if revision <= have:
        return Done(None)
    stored = await objects.get(_DOCUMENTS_OBJECT, timeout_s=timeout_s)
    if not isinstance(stored, Done):
        return stored
    match await anyio.to_thread.run_sync(parse_message, stored.value.body):
        case Done(message):
            return Done(message)
        case refused:
            return refused


async def write_object(
    objects: ObjectStorePort, documents: Documents, *, timeout_s: float
) -> Result[bool]:
    """Store a copy; return False if the stored copy is already as new."""
    stored_revision = await _read_revision(objects, timeout_s=timeout_s)
    if not isinstance(stored_revision, Done):
        return stored_revision
    revision, tag = stored_revision.value
    if revision >= documents.revision:
        return Done(False)
    # Encoding takes 0.1 s at the intended size, during which a router must continue to
    # serve requests. The worker thread yields to the event loop between documents.
    message = DocumentsMessage(documents)
    body = await anyio.to_thread.run_sync(encode_message, message)
    stored = await objects.put(
        _DOCUMENTS_OBJECT, body, expected_tag=None, timeout_s=timeout_s
    )
    if not isinstance(stored, Done):
        return stored
    text = str(documents.revision).encode()
    updated = await objects.put(
        _REVISION_OBJECT, text, expected_tag=tag, timeout_s=timeout_s
    )
    match updated:
        case Done():
            return Done(True)
        case Refused(Reason.CONFLICT):
            # Another process updated the revision concurrently, and its copy may have
            # been newer than the one just stored. The next change replaces an outdated
            # copy; until then new processes read a few more changes from the table.
            return Done(False)
        case failure:
            return failure


async def _read_revision(
    objects: ObjectStorePort, *, timeout_s: float
) -> Result[tuple[ConfigRevision, str]]:
    match await objects.get(_REVISION_OBJECT, timeout_s=timeout_s):
        case Done(stored):
            try:
                return Done((ConfigRevision(int(stored.body)), stored.tag))
            except ValueError:
                return Refused(
                    Reason.BAD_REQUEST, f"{_REVISION_OBJECT} is not a number"
                )
        case Refused(Reason.NOT_FOUND):
            return Done((ConfigRevision(0), ""))
        case failure:
            return failure
