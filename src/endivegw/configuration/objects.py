"""The copy of the configuration in the object store, where fresh processes start.

Two objects: a small one names the revision of the large one, so that a look
costs a few bytes. Their order of writing does not matter, since a process
takes nothing that is older than what it has.
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

_POINTER = "config/revision"
_COPY = "config/documents"


async def read_newer_object(
    objects: ObjectStorePort, have: ConfigRevision, *, timeout_s: float
) -> Result[ConfigMessage | None]:
    """Return the stored copy, None where it is no newer than ``have``."""
    pointer = await _read_pointer(objects, timeout_s=timeout_s)
    if not isinstance(pointer, Done):
        return pointer
    revision, _ = pointer.value
    if revision <= have:
        return Done(None)
    stored = await objects.get(_COPY, timeout_s=timeout_s)
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
    """Store a copy; return False where one as new is there already."""
    pointer = await _read_pointer(objects, timeout_s=timeout_s)
    if not isinstance(pointer, Done):
        return pointer
    revision, tag = pointer.value
    if revision >= documents.revision:
        return Done(False)
    # A tenth of a second at the target size, in which a router must go on
    # answering; the thread gives way to it between two documents.
    message = DocumentsMessage(documents)
    body = await anyio.to_thread.run_sync(encode_message, message)
    stored = await objects.put(_COPY, body, expected_tag=None, timeout_s=timeout_s)
    if not isinstance(stored, Done):
        return stored
    text = str(documents.revision).encode()
    moved = await objects.put(_POINTER, text, expected_tag=tag, timeout_s=timeout_s)
    match moved:
        case Done():
            return Done(True)
        case Refused(Reason.CONFLICT):
            # Another process moved it meanwhile, and its copy may be newer
            # than the one just stored. The next change mends a copy that went
            # back; until then fresh processes read a few changes more.
            return Done(False)
        case failure:
            return failure


async def _read_pointer(
    objects: ObjectStorePort, *, timeout_s: float
) -> Result[tuple[ConfigRevision, str]]:
    match await objects.get(_POINTER, timeout_s=timeout_s):
        case Done(stored):
            try:
                return Done((ConfigRevision(int(stored.body)), stored.tag))
            except ValueError:
                return Refused(Reason.BAD_REQUEST, f"{_POINTER} is no number")
        case Refused(Reason.NOT_FOUND):
            return Done((ConfigRevision(0), ""))
        case failure:
            return failure
