"""Distinguish a terminated target from a single broken connection."""

from __future__ import annotations

from typing import Callable, Collection

import anyio

from endivegw.quarantine import Fingerprint, LostSends, TargetStart
from endivegw.relay.target_pool import TargetPool
from endivegw.telemetry import EventLog
from endivegw.telemetry.catalogue import relay as events

__all__ = ["TerminationDetector"]

#: Maximum number of fingerprints in one log line.
_MAX_LOGGED_FINGERPRINTS = 32


class TerminationDetector:
    """Match lost requests with terminations of targets.

    :param pool: probes whether a process listens at a target's address.
    :param on_ended: called with a terminated target and the fingerprints of the
        requests that were in progress there.
    """

    def __init__(
        self,
        pool: TargetPool,
        on_ended: Callable[[TargetStart, list[Fingerprint]], None],
        clock: Callable[[], float],
        log: EventLog,
    ) -> None:
        self._pool = pool
        self._on_ended = on_ended
        self._clock = clock
        self._log = log
        self._sends = LostSends()
        #: Probes in progress; one probe serves all requests that were lost at a target.
        self._probes: dict[TargetStart, anyio.Event] = {}

    async def record_lost_send(
        self, start: TargetStart, address: str, fingerprints: Collection[Fingerprint]
    ) -> None:
        """Record that a connection broke while a request was in progress on it.

        Returns once the address has been probed for a listening process.

        :param fingerprints: those of the request that may have terminated the target.
        """
        now_s = self._clock()
        late = [
            fingerprint
            for fingerprint in fingerprints
            if self._sends.record_loss(start, address, fingerprint, now_s)
        ]
        if late:
            self._report(start, "ended-before", late)
            return
        probe = self._probes.get(start)
        if probe is not None:
            await probe.wait()
            return
        probe = self._probes[start] = anyio.Event()
        try:
            # Other requests wait for this probe, so it is shielded from the
            # cancellation of this request.
            with anyio.CancelScope(shield=True):
                if await self._pool.refuses_connections(address):
                    self.record_termination(start, "nobody-listens")
        finally:
            del self._probes[start]
            probe.set()

    def record_termination(self, start: TargetStart, source: str) -> None:
        """Record that a target terminated.

        :param source: the observation that proves it, as logged.
        """
        if self._sends.has_terminated(start):
            return
        self._report(
            start, source, self._sends.record_termination(start, self._clock())
        )

    def record_address(self, start: TargetStart, address: str) -> None:
        """Record a target's address; earlier targets there have terminated."""
        for other in self._sends.other_starts_at(address, start):
            self.record_termination(other, "address-taken")

    def _report(
        self, start: TargetStart, source: str, fingerprints: list[Fingerprint]
    ) -> None:
        self._log.emit(
            events.TARGET_TERMINATED,
            target=start.instance_id,
            started_ms=start.started_ms,
            source=source,
            lost=len(fingerprints),
            fingerprints=fingerprints[:_MAX_LOGGED_FINGERPRINTS],
        )
        self._on_ended(start, fingerprints)
