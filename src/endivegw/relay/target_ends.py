"""Find out whether a target ended or one connection to it broke."""

from __future__ import annotations

from typing import Callable

import anyio

from endivegw.quarantine import Fingerprint, LostSends, TargetStart
from endivegw.relay.target_pool import TargetPool
from endivegw.telemetry import EventLog
from endivegw.telemetry.catalogue import relay as events

__all__ = ["TargetEnds"]

#: Fingerprints that one log line names.
_MOST_LOGGED = 32


class TargetEnds:
    """Join lost sends with the ends of targets.

    :param pool: asked whether anybody listens at a target's address.
    :param on_ended: takes the requests that were in progress at a target as it ended.
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
        #: Questions under way; one serves all requests that a target lost.
        self._asking: dict[TargetStart, anyio.Event] = {}

    async def lost(
        self, start: TargetStart, address: str, fingerprint: Fingerprint
    ) -> None:
        """Take in that a connection broke with a request on it.

        Returns once it is known whether anybody still listens at the address.
        """
        if self._sends.record_loss(start, address, fingerprint, self._clock()):
            self._tell(start, "ended-before", [fingerprint])
            return
        asked = self._asking.get(start)
        if asked is not None:
            await asked.wait()
            return
        asked = self._asking[start] = anyio.Event()
        try:
            # The others wait for this answer, also where this caller leaves.
            with anyio.CancelScope(shield=True):
                if await self._pool.refuses(address):
                    self.ended(start, "nobody-listens")
        finally:
            del self._asking[start]
            asked.set()

    def ended(self, start: TargetStart, source: str) -> None:
        """Take in that a target ended.

        :param source: what shows it.
        """
        if self._sends.has_terminated(start):
            return
        self._tell(start, source, self._sends.record_termination(start, self._clock()))

    def registered(self, start: TargetStart, address: str) -> None:
        """Take in that a start of a target has an address now."""
        for other in self._sends.other_starts_at(address, start):
            self.ended(other, "address-taken")

    def _tell(
        self, start: TargetStart, source: str, fingerprints: list[Fingerprint]
    ) -> None:
        self._log.emit(
            events.TARGET_ENDED,
            target=start.instance_id,
            started_ms=start.started_ms,
            source=source,
            lost=len(fingerprints),
            fingerprints=fingerprints[:_MOST_LOGGED],
        )
        self._on_ended(start, fingerprints)
