"""Software versions of the targets that began streams, so that others resume them."""

from endivegw.streams.history import VersionHistory, VersionSeen
from endivegw.streams.manager import StreamOrigin, StreamVersions
from endivegw.streams.records import StreamKey, StreamRecord, StreamRecords, stream_key
from endivegw.streams.version_poll import SoleVersion, VersionPoll

__all__ = [
    "SoleVersion",
    "StreamKey",
    "StreamOrigin",
    "StreamRecord",
    "StreamRecords",
    "StreamVersions",
    "VersionHistory",
    "VersionPoll",
    "VersionSeen",
    "stream_key",
]
