"""Server side of the S3 REST API for the stand-in object store."""

from __future__ import annotations

import hashlib

from attrs import define, field

from endivegw.services import StoredObject
from endivegw_standins.http_exchange import Reply

__all__ = ["MemoryObjects"]


@define
class MemoryObjects:
    """Store objects in memory.

    :ivar reads: number of objects requested.
    :ivar writes: number of writes requested.
    """

    objects: dict[str, StoredObject] = field(factory=dict)
    reads: int = 0
    writes: int = 0

    def get(self, name: str) -> Reply:
        """Handle a GET request."""
        self.reads += 1
        stored = self.objects.get(name)
        if stored is None:
            return Reply(404)
        return Reply(200, stored.body, {"etag": stored.tag})

    def put(
        self, name: str, body: bytes, if_match: str | None, if_none_match: str | None
    ) -> Reply:
        """Handle a PUT request with its conditional header fields."""
        self.writes += 1
        stored = self.objects.get(name)
        if if_none_match == "*" and stored is not None:
            return Reply(412)
        if if_match is not None and (stored is None or stored.tag != if_match):
            return Reply(412 if stored else 404)
        digest = hashlib.md5(body, usedforsecurity=False).hexdigest()
        tag = f'"{digest}"'
        self.objects[name] = StoredObject(body, tag)
        return Reply(200, b"", {"etag": tag})
