"""The stand-in object store's side of the S3 REST interface."""

from __future__ import annotations

import hashlib

from attrs import define, field

from endivegw.services import StoredObject
from endivegw_standins.http_exchange import Reply

__all__ = ["MemoryObjects"]


@define
class MemoryObjects:
    """Keep objects in memory.

    :ivar reads: how many objects were asked for.
    :ivar writes: how many writes were asked for.
    """

    objects: dict[str, StoredObject] = field(factory=dict)
    reads: int = 0
    writes: int = 0

    def get(self, name: str) -> Reply:
        """Answer a GET."""
        self.reads += 1
        stored = self.objects.get(name)
        if stored is None:
            return Reply(404)
        return Reply(200, stored.body, {"etag": stored.tag})

    def put(
        self, name: str, body: bytes, if_match: str | None, if_none_match: str | None
    ) -> Reply:
        """Answer a PUT, with its conditions."""
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
