"""Simulated target process of the platform, which terminates and restarts."""

from __future__ import annotations

import anyio
from attrs import define, field

from endivegw_standins.platform_store_app import PlatformStoreApp
from endivegw_standins.platform_worker import PlatformWorker
from endivegw_standins.ports import reserve_port

__all__ = ["TARGET_ENTRY", "PlatformTarget"]

_SLOTS = 8

#: Fields that all entries of targets have in common.
TARGET_ENTRY = {
    "Version": "v1",
    "Slots": _SLOTS,
    "State": "ready",
    "ColdRemainingMs": 0,
    "Sequence": 1,
}


@define
class PlatformTarget:
    """Run one worker and restart it; each incarnation registers under its own id.

    :ivar restart_delay_s: time between the end of an incarnation and the removal of
        its entry from the store. The port is closed meanwhile; the next incarnation
        starts afterwards.
    :ivar starts: number of starts so far.
    :ivar ended_s: when each incarnation ended.
    :ivar zone: availability zone that it registers.
    :ivar warm_up_s: how long each incarnation is cold after its start.
    :ivar software_version: version of the software that the next incarnation runs.
    """

    name: str
    service: str
    worker: PlatformWorker
    port: int = field(factory=reserve_port)
    restart_delay_s: float = 0.3
    starts: int = 0
    ended_s: list[float] = field(factory=list)
    zone: str = "z"
    warm_up_s: float = 0.0
    software_version: str = "v1"

    async def run(
        self,
        store: PlatformStoreApp,
        *,
        address: str | None = None,
        slots: int = _SLOTS,
    ) -> None:
        """Serve until cancelled.

        :param address: address to register; None for the target's own port.
        """
        entry = {
            **TARGET_ENTRY,
            "Service": self.service,
            "Address": address or f"127.0.0.1:{self.port}",
            "Zone": self.zone,
            "Slots": slots,
        }
        while True:
            self.starts += 1
            name = self.name if self.starts == 1 else f"{self.name}.{self.starts}"
            entry["Version"] = self.software_version
            await self._serve_incarnation(store, name, dict(entry))
            await anyio.sleep(self.restart_delay_s)
            store.drop("servers", name)

    async def _serve_incarnation(
        self, store: PlatformStoreApp, name: str, entry: dict[str, object]
    ) -> None:
        self.worker.instance_id = name
        # The state of the previous incarnation does not apply to this one.
        self.worker.leaving = False
        self.worker.limit = None
        if self.worker.software_version is not None:
            self.worker.software_version = str(entry["Version"])
        self.worker.terminated = anyio.Event()
        listener = await anyio.create_tcp_listener(
            local_host="127.0.0.1", local_port=self.port
        )
        async with listener, anyio.create_task_group() as tasks:
            tasks.start_soon(listener.serve, self.worker.serve)
            tasks.start_soon(self._register, store, name, entry)
            await self.worker.terminated.wait()
            self.ended_s.append(anyio.current_time())
            tasks.cancel_scope.cancel()

    async def _register(
        self, store: PlatformStoreApp, name: str, entry: dict[str, object]
    ) -> None:
        """Write the entry, and write it again once the worker is warm."""
        if self.warm_up_s:
            self.worker.make_cold(self.warm_up_s)
            cold = {**entry, "ColdRemainingMs": int(self.warm_up_s * 1000)}
            store.put("servers", name, cold)
            await anyio.sleep(self.warm_up_s)
        store.put("servers", name, entry)
