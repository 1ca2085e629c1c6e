"""The target's own figures, read at an interval for the routers' heartbeats."""

from __future__ import annotations

import anyio

from endivegw.daemons.sidecar_ports import Clock, SidecarSettings
from endivegw.decisions import SERVICE_PREFIX
from endivegw.peers._generated import endivegw_peers_pb2 as pb
from endivegw.results import Done, Reason, Refused
from endivegw.targets.ports import EngineLoad, EnginePort

__all__ = ["LoadWatch"]

#: Cache changes that one report carries; 20 bytes each, so that heartbeats of
#: 40 routers a second stay below the control budget of 6 KB a second.
MAX_CACHE_CHANGES = 4


class LoadWatch:
    """Poll an engine and keep its last figures.

    :ivar leaving: whether the engine itself says that it takes no new work.
    """

    def __init__(
        self, engine: EnginePort | None, settings: SidecarSettings, clock: Clock
    ) -> None:
        self._engine = engine
        self._settings = settings
        self._clock = clock
        self._last: EngineLoad | None = None
        self._read_s = clock()
        self.leaving = False

    async def poll(self) -> None:
        """Read the figures until cancelled; plain services have none."""
        engine = self._engine
        while engine is not None:
            result = await engine.load()
            match result:
                case Done(value=load):
                    self._last = load
                    self._read_s = self._clock()
                    self.leaving = False
                case Refused(reason=Reason.DRAINING):
                    self.leaving = True
            await anyio.sleep(self._settings.load_interval_s)

    def report(self, running: int, draining: bool) -> pb.LoadReport:
        """Return what routers are told.

        :param running: attempts that this sidecar knows of; for a plain service
            it is the only figure there is.
        """
        report = pb.LoadReport(
            target=self._settings.target, running=running, draining=draining
        )
        load = self._last
        if load is None:
            names = self._settings.serves
            report.models.extend(SERVICE_PREFIX + name for name in names)
            report.slots = self._settings.slots if names else 0
            return report
        report.running = load.running
        report.waiting = load.waiting
        report.slots = load.slots
        report.tokens_per_s = load.tokens_per_s
        report.models.extend(load.models)
        report.age_s = load.age_s + self._clock() - self._read_s
        for change in load.cache_changes[-MAX_CACHE_CHANGES:]:
            report.cache_events.add(
                sequence=change.sequence,
                prefix_digest=change.prefix_digest,
                evicted=change.evicted,
            )
            report.cache_event_sequence = change.sequence
        return report
