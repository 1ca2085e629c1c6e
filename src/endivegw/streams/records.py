"""Remember which software version began each stream. The module does no I/O."""

from __future__ import annotations

import base64
import hashlib
from collections import OrderedDict
from typing import Iterator, NewType

from attrs import define, field, frozen

from endivegw.types import ClientAccountName

__all__ = ["StreamKey", "StreamRecord", "StreamRecords", "stream_key"]

#: 16 characters of URL-safe base64.
StreamKey = NewType("StreamKey", str)

_DIGEST_BYTES = 12

#: Maximum number of streams that are remembered; a router of a fleet of 370 learns of
#: some thousand while callers may resume them.
_MAX_STREAMS = 16_384


@frozen
class StreamRecord:
    """The software version that began a stream."""

    key: StreamKey
    service: str
    software_version: str


def stream_key(account: ClientAccountName | None, attempt_id: str) -> StreamKey:
    """Return the key of the stream that a caller's attempt began.

    The account is part of the key, so that no account learns of streams of another.
    """
    digest = hashlib.blake2b(
        attempt_id.encode(), key=_account_key(account), digest_size=_DIGEST_BYTES
    )
    return StreamKey(base64.urlsafe_b64encode(digest.digest()).decode())


def _account_key(account: ClientAccountName | None) -> bytes:
    return hashlib.blake2b((account or "").encode(), digest_size=_DIGEST_BYTES).digest()


@define
class StreamRecords:
    """Hold the records of streams that callers may still resume.

    :param retention_s: seconds for which a stream is remembered after its first event.
    """

    retention_s: float
    _records: OrderedDict[StreamKey, tuple[StreamRecord, float]] = field(
        factory=OrderedDict
    )

    def __len__(self) -> int:
        """Return the number of remembered streams."""
        return len(self._records)

    def add(self, record: StreamRecord, now_s: float) -> None:
        """Remember a stream."""
        self._records[record.key] = record, now_s
        self._records.move_to_end(record.key)
        if len(self._records) > _MAX_STREAMS:
            self._records.popitem(last=False)
        self._expire(now_s)

    def discard(self, key: StreamKey) -> None:
        """Forget a stream that nobody resumes."""
        self._records.pop(key, None)

    def find(self, key: StreamKey, now_s: float) -> StreamRecord | None:
        """Return the record of a stream, or None if it is unknown."""
        self._expire(now_s)
        found = self._records.get(key)
        return None if found is None else found[0]

    def of_service(self, service: str) -> list[StreamRecord]:
        """Return the records of one service."""
        return [
            record for record, _ in self._records.values() if record.service == service
        ]

    def latest(self, after_s: float) -> Iterator[StreamRecord]:
        """Return the records that were added after a time, the latest first."""
        for record, added_s in reversed(self._records.values()):
            if added_s <= after_s:
                return
            yield record

    def _expire(self, now_s: float) -> None:
        while self._records:
            key, (_, added_s) = next(iter(self._records.items()))
            if now_s - added_s < self.retention_s:
                return
            del self._records[key]
