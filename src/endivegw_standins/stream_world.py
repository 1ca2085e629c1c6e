"""Simulate routers that keep records of streams for each other, in virtual time.

Records, datagrams and rows are production code. Targets and streams are simulated.
"""

from __future__ import annotations

import random
from collections import Counter
from typing import Any

import anyio
from anyio.abc import TaskGroup
from attrs import define, field

from endivegw.allowances.witnesses import Statement
from endivegw.gossip.peers import PeerEntry, PeerTable
from endivegw.results import Refused
from endivegw.streams import StreamVersions, VersionSeen
from endivegw.telemetry import EventLog
from endivegw.types import InstanceId
from endivegw_standins.linked_world import SimulatedLink, SimulatedNetwork
from endivegw_standins.row_store import MemoryRows, RowStoreClient

__all__ = ["SERVICE", "StreamRouter", "StreamWorld"]

SERVICE = "engine"

#: Maximum time until a router reads the row of a target.
_ROW_DELAY_S = 0.3

#: Each router has its own host, so one port suffices.
_PORT = 1


class StreamRouter:
    """One router's records and its link to the others."""

    def __init__(self, world: StreamWorld, vm: str, start: int) -> None:
        self.world = world
        self.vm = vm
        self.entry = PeerEntry(vm, InstanceId(f"{vm}.{start}"), vm, _PORT)
        self.link = _link(self)
        self.streams = StreamVersions(
            RowStoreClient(vm, world.store),
            vm,
            self.link.streams,
            self._read_registry,
            lambda: self.unavailable_s,
            anyio.current_time,
            EventLog("world"),
        )
        self.unavailable_s = 0.0
        self.scope = anyio.CancelScope()

    async def _read_registry(self, timeout_s: float) -> bool:
        """Read the versions of the targets now; return whether the store answers."""
        store = self.world.store
        self.world.registry_reads += 1
        if self.vm in store.cut | store.unanswered:
            await anyio.sleep(timeout_s)
            return False
        await anyio.sleep(store.answer_s)
        self.streams.register({SERVICE: self.world.versions})
        return True

    async def run(self) -> None:
        """Run until killed."""
        with self.scope:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self.link.run)
                tasks.start_soon(self.streams.run)


@define(eq=False)
class StreamWorld:
    """Routers in front of one service, and the software versions of its targets.

    :ivar registry_reads: number of times that routers asked for the versions.
    :ivar behind: vms whose routers read no further rows of targets.
    :ivar outcomes: number of resumed streams by outcome: ``continued``, ``refused``
        or ``joined``.
    """

    rng: random.Random
    tasks: TaskGroup
    store: MemoryRows = field(init=False)
    network: SimulatedNetwork = field(init=False)
    routers: dict[str, StreamRouter] = field(factory=dict)
    versions: frozenset[str] = frozenset({"v1"})
    registry_reads: int = 0
    behind: set[str] = field(factory=set)
    outcomes: Counter[str] = field(factory=Counter)
    _starts: int = 0
    _streams: int = 0

    def __attrs_post_init__(self) -> None:
        self.store = MemoryRows(anyio.current_time)
        self.network = SimulatedNetwork(self.rng)

    def start(self, vm: str) -> StreamRouter:
        """Start a router's process; it knows nothing of earlier processes."""
        self._starts += 1
        router = StreamRouter(self, vm, self._starts)
        self.routers[vm] = router
        for other in self.routers.values():
            other.link.peers.put(router.entry)
            router.link.peers.put(other.entry)
        router.link.peers.listed = True
        router.streams.register({SERVICE: self.versions})
        self.tasks.start_soon(router.run)
        return router

    def kill(self, vm: str) -> None:
        """Kill a router; the others still list it."""
        self.routers.pop(vm).scope.cancel()

    def set_versions(self, *versions: str) -> None:
        """Change the versions of the targets; each router reads this after a time."""
        self.versions = frozenset(versions)
        for router in self.routers.values():
            self.tasks.start_soon(self._read_rows, router, self.versions)

    async def _read_rows(self, router: StreamRouter, versions: frozenset[str]) -> None:
        await anyio.sleep(self.rng.random() * _ROW_DELAY_S)
        if router.vm not in self.behind | self.store.cut:
            router.streams.register({SERVICE: versions})

    def cut_off(self, *vms: str) -> None:
        """Cut routers off from the store and from all other routers."""
        self.store.cut.update(vms)
        self.network.groups.update(dict.fromkeys(vms, 1))

    def begin(self, vm: str, version: str) -> str:
        """Relay the first event of a stream; return the attempt's id."""
        self._streams += 1
        attempt_id = f"s-{self._streams}"
        self.routers[vm].streams.begin(None, attempt_id, SERVICE, version)
        return attempt_id

    async def resume(self, vm: str, attempt_id: str | None, version: str) -> None:
        """Resume a stream at a router, and count what becomes of it.

        :param attempt_id: the attempt that began it; None if the caller names none.
        """
        found = await self.routers[vm].streams.version_of(None, attempt_id, SERVICE)
        if isinstance(found, Refused):
            self.outcomes["refused"] += 1
        else:
            is_same = found.software_version == version
            self.outcomes["continued" if is_same else "joined"] += 1


def _link(router: StreamRouter) -> SimulatedLink:
    """Return a router's link with its records wired as in production."""
    ignore: Any = lambda *args: None  # noqa: E731

    async def lend(account: Any, min_tokens: int, wanted_tokens: int) -> int:
        return 0

    def on_broadcast(update: Any) -> None:
        if isinstance(update, VersionSeen):
            router.streams.receive(update)

    link = SimulatedLink(
        router.entry,
        PeerTable(router.vm),
        lend=lend,
        surplus=dict,
        load=dict,
        pop_prefixes=list,
        on_prefixes_read=ignore,
        on_loan=ignore,
        on_acknowledgement=ignore,
        make_statement=lambda sequence: Statement(sequence, 0.0),
        named_witnesses=tuple,
        clock=anyio.current_time,
        log=EventLog("world"),
        on_broadcast=on_broadcast,
        on_streams=lambda records: router.streams.keep(records),
        find_stream=lambda key: router.streams.find(key),
        sole_version=lambda service: router.streams.sole_version(service),
        rng=router.world.rng,
    )
    link.network = router.world.network
    return link
