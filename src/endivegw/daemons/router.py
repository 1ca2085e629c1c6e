"""The router daemon: callers' HTTP in front, sidecars behind."""

from __future__ import annotations

from typing import Callable

import anyio
from anyio.abc import TaskGroup, TaskStatus
from attrs import frozen

from endivegw.budgets import BudgetManager
from endivegw.configuration.agent import ConfigurationAgent
from endivegw.daemons.background import Background
from endivegw.daemons.http_front import HttpFront
from endivegw.daemons.http_messages import header_limit
from endivegw.daemons.lent_grants import LentGrants
from endivegw.daemons.peer_book import PeerBook
from endivegw.daemons.placement_queue import PlacementQueue
from endivegw.daemons.recovery_watch import RecoveryWatch
from endivegw.daemons.request_runner import RequestRunner, RunnerParts
from endivegw.daemons.router_news import RouterNews
from endivegw.daemons.router_service import RouterService
from endivegw.daemons.router_watch import RouterWatch
from endivegw.daemons.slot_map_reader import SlotMapReader
from endivegw.daemons.target_watch import TargetWatch
from endivegw.http_server import ServedAddress, serve_asgi
from endivegw.peers import PeerSecurity, serve_peers
from endivegw.peers._generated import endivegw_peers_pb2 as pb
from endivegw.settings import RouterSettings
from endivegw.telemetry import EventLog
from endivegw.telemetry.catalogue import daemons as events
from endivegw.types import InstanceId

__all__ = ["Router", "RouterParts"]

#: How often a planned stop looks whether all answers have ended.
_DRAIN_LOOK_S = 0.05

#: How long the balancer is given to notice that the health page fails, before
#: idle connections are closed. Requests that arrive meanwhile are refused as
#: not run, and the balancer's next try goes elsewhere.
_DRAIN_NOTICE_S = 1.0

#: What settling and returning grants may take at the end of a planned stop.
_CLOSE_BOUND_S = 10.0


@frozen
class RouterParts:
    """Hold what the composition root wired for one router."""

    settings: RouterSettings
    instance_id: InstanceId
    configuration: ConfigurationAgent
    budget_manager: BudgetManager
    queue: PlacementQueue
    watch: TargetWatch
    routers: RouterWatch
    recovery: RecoveryWatch
    lent: LentGrants
    slots: SlotMapReader
    runner: RunnerParts
    book: PeerBook
    news: RouterNews
    header: Callable[[], pb.Header]
    on_header: Callable[[pb.Header], None]
    security: PeerSecurity
    clock: Callable[[], float]
    log: EventLog


class Router:
    """Run one router until it is drained or cancelled."""

    def __init__(self, parts: RouterParts) -> None:
        self._parts = parts
        self._draining = False
        self._stopped = anyio.Event()
        self._front: HttpFront | None = None

    @property
    def ready(self) -> bool:
        """Return whether the balancer should send callers here."""
        parts = self._parts
        if self._draining or not parts.configuration.ready:
            return False
        return parts.watch.settled and parts.slots.settled(parts.clock())

    @property
    def instance_id(self) -> InstanceId:
        """Return the name of this start of this process."""
        return self._parts.instance_id

    @property
    def in_progress(self) -> int:
        """Return how many requests have not ended."""
        return 0 if self._front is None else self._front.in_progress

    async def run(
        self, *, task_status: TaskStatus[ServedAddress] = anyio.TASK_STATUS_IGNORED
    ) -> None:
        """Serve until :meth:`drain` has ended or the task is cancelled."""
        try:
            await self._run(task_status)
        finally:
            self._parts.book.close()
            self._parts.runner.claims.close()

    async def _run(self, task_status: TaskStatus[ServedAddress]) -> None:
        parts = self._parts
        async with anyio.create_task_group() as tasks:
            self._front = self._build_front(tasks)
            for run in (
                parts.configuration.run,
                parts.watch.run,
                parts.routers.run,
                parts.recovery.run,
                parts.lent.run,
                parts.slots.run,
                parts.queue.run,
                parts.budget_manager.run,
                parts.news.run,
                parts.runner.quarantine.run,
            ):
                tasks.start_soon(run)
            peers = parts.settings.peers.listen
            service = self._build_service()
            await tasks.start(
                serve_peers, (service,), peers.ip, peers.port, parts.security
            )
            listen = parts.settings.listen
            address = await tasks.start(self._serve_front, listen.ip, listen.port)
            parts.log.emit(
                events.DAEMON_STARTED,
                role="router",
                instance_id=parts.instance_id,
                address=f"{address[0]}:{address[1]}",
            )
            task_status.started(address)
            await self._stopped.wait()
            tasks.cancel_scope.cancel()

    async def drain(self) -> None:
        """Take no new work, let what runs end, settle, and stop.

        Cutting off an answer would cost a caller its request, so the bound is
        long; it is there for an answer that never ends.
        """
        parts = self._parts
        self._draining = True
        parts.log.emit(
            events.DAEMON_DRAINING,
            role="router",
            instance_id=parts.instance_id,
            in_progress=self.in_progress,
        )
        await anyio.sleep(_DRAIN_NOTICE_S)
        with anyio.move_on_after(parts.settings.process.drain_bound_s):
            while self.in_progress:
                await anyio.sleep(_DRAIN_LOOK_S)
        cut_off = self.in_progress
        with anyio.move_on_after(_CLOSE_BOUND_S):
            await parts.budget_manager.close(parts.clock())
        parts.log.emit(
            events.DAEMON_STOPPED,
            role="router",
            instance_id=parts.instance_id,
            cut_off=cut_off,
        )
        self._stopped.set()

    async def _serve_front(
        self, ip: str, port: int, *, task_status: TaskStatus[ServedAddress]
    ) -> None:
        await serve_asgi(
            self._front,
            ip,
            port,
            # A planned stop has waited for the answers in progress already.
            graceful_s=0,
            header_limit=header_limit(self._parts.settings.http.max_header_bytes),
            task_status=task_status,
        )

    def _build_service(self) -> RouterService:
        parts = self._parts
        return RouterService(
            parts.budget_manager,
            parts.configuration,
            parts.header,
            parts.on_header,
            lambda: self._draining,
            parts.news.hear,
            parts.clock,
        )

    def _build_front(self, background: TaskGroup) -> HttpFront:
        parts = self._parts
        return HttpFront(
            RequestRunner(parts.runner, Background(background, parts.log)),
            lambda: parts.configuration.snapshot,
            lambda: self.ready,
            # Cut off from most targets, the fault is most likely here: callers
            # fare better at another router.
            lambda: not parts.watch.seems_isolated,
            parts.settings.http,
            parts.clock,
            parts.log,
        )
