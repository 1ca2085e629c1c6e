"""The software version to which one request's stream is bound."""

from __future__ import annotations

from endivegw.decisions import Placement
from endivegw.relay.admission import AdmittedRequest
from endivegw.results import Refused
from endivegw.routing import RouteKind
from endivegw.streams import StreamVersions
from endivegw.telemetry import EventLog
from endivegw.telemetry.catalogue import relay as events

__all__ = ["StreamBinding"]


class StreamBinding:
    """Bind a stream that may be resumed to the version that sends its first event.

    :ivar software_version: the version; None before the first event, and for answers
        that are not resumed.
    """

    def __init__(
        self, streams: StreamVersions, admitted: AdmittedRequest, log: EventLog
    ) -> None:
        self._streams = streams
        self._log = log
        self._admitted = admitted
        self._is_resumable = admitted.route.kind is RouteKind.RESUMABLE_STREAM
        self.software_version: str | None = None

    async def find(self) -> Refused | None:
        """Find the version that began a stream which the caller resumes.

        :returns: why the stream must not go on, or None.
        """
        admitted = self._admitted
        metadata = admitted.metadata
        if not self._is_resumable:
            return None
        if metadata.resumes is None and metadata.resume_after is None:
            return None
        found = await self._streams.version_of(
            admitted.account_name, metadata.resumes, admitted.service
        )
        if isinstance(found, Refused):
            return found
        self.software_version = found.software_version
        self._log.emit(
            events.STREAM_RESUMED,
            request_id=admitted.request_id,
            resumes=metadata.resumes,
            service=admitted.service,
            software_version=found.software_version,
            source=found.source,
        )
        return None

    def begin(self, placement: Placement) -> None:
        """Record the target whose events are relayed next."""
        if not self._is_resumable or self.software_version is not None:
            return
        admitted = self._admitted
        self.software_version = placement.software_version
        self._streams.begin(
            admitted.account_name,
            admitted.request_id,
            admitted.service,
            placement.software_version,
        )

    def end(self) -> None:
        """Record that the caller has got all of the stream."""
        if self._is_resumable:
            admitted = self._admitted
            self._streams.end(admitted.account_name, admitted.request_id)
