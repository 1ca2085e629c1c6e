"""Polls an engine's load figures for the answers to routers' heartbeats."""

from __future__ import annotations

import anyio

from endivegw.daemons.sidecar_ports import Clock, SidecarSettings
from endivegw.decisions import SERVICE_PREFIX
from endivegw.peers._generated import endivegw_peers_pb2 as pb
from endivegw.results import Done, Reason, Refused
from endivegw.targets.ports import EngineLoad, EnginePort

__all__ = ["LoadPoller"]

#: Maximum cache changes in one report. Each takes 20 bytes, so that heartbeats
#: of 40 routers a second stay below the budget of 6 KB a second for control
#: traffic.
MAX_CACHE_CHANGES = 4


class LoadPoller:
    """Poll an engine and retain its last figures.

    :ivar leaving: whether the engine itself reports that it accepts no new work.
    """

    def __init__(
        self, engine: EnginePort | None, settings: SidecarSettings, clock: Clock
    ) -> None:
        self._engine = engine
        self._settings = settings
        self._clock = clock
        self._last: EngineLoad | None = None
        self._polled_at_s = clock()
        self.leaving = False

    async def poll(self) -> None:
        """Poll the figures until cancelled; return at once for a plain service."""
        engine = self._engine
        while engine is not None:
            result = await engine.load()
            match result:
                case Done(value=load):
                    self._last = load
                    self._polled_at_s = self._clock()
                    self.leaving = False
                case Refused(reason=Reason.DRAINING):
                    self.leaving = True
            await anyio.sleep(self._settings.load_interval_s)

    def report(self, running: int, draining: bool) -> pb.LoadReport:
        """Return the load report for routers.

        :param running: running attempts that this sidecar knows of; the only
            figure available for a plain service.
        :param draining: whether the sidecar accepts no new work.
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
        report.age_s = load.age_s + self._clock() - self._polled_at_s
        for change in load.cache_changes[-MAX_CACHE_CHANGES:]:
            report.cache_events.add(
                sequence=change.sequence,
                prefix_digest=change.prefix_digest,
                evicted=change.evicted,
            )
            report.cache_event_sequence = change.sequence
        return report
