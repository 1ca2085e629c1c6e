"""Stand-in platform: table, objects, vm list and weights in one ASGI application.

Paths: ``/table`` implements the DynamoDB JSON interface, ``/objects/NAME`` the S3
REST interface, ``/vms`` returns the list of virtual machines, and ``/weights/NAME``
answers GET and HEAD at a limited rate.
"""

from __future__ import annotations

import time
from urllib.parse import unquote

import anyio
from attrs import define, field

from endivegw.services import ListedVm
from endivegw_standins.dynamo_server import WRITE_ACTIONS, answer_action
from endivegw_standins.faults import Faults, PlatformFaults
from endivegw_standins.http_exchange import (
    Receive,
    Reply,
    Scope,
    Send,
    json_reply,
    read_body,
    send_reply,
)
from endivegw_standins.memory_table import MemoryTable
from endivegw_standins.object_server import MemoryObjects

__all__ = ["StandinPlatform"]


@define
class StandinPlatform:
    """Platform services for tests and for ``endivegw dev``.

    :ivar weight_sizes_bytes: size of each model's weights by name.
    :ivar weight_calls_per_s: maximum rate of calls to the weight store; calls beyond
        it are answered with 429.
    """

    table: MemoryTable = field(factory=MemoryTable)
    objects: MemoryObjects = field(factory=MemoryObjects)
    vms: list[ListedVm] = field(factory=list)
    weight_sizes_bytes: dict[str, int] = field(factory=dict)
    weight_calls_per_s: float = 10.0
    faults: PlatformFaults = field(factory=PlatformFaults)
    _weights_available_at_s: float = 0.0

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Answer one HTTP exchange."""
        if scope["type"] != "http":
            return
        body = await read_body(receive)
        service, _, name = unquote(scope["path"]).lstrip("/").partition("/")
        faults = self._service_faults(service)
        if faults is None:
            await send_reply(send, Reply(404))
            return
        headers = {key.decode(): value.decode() for key, value in scope["headers"]}
        address = scope["client"][0] if scope.get("client") else ""
        if faults.latency_s:
            await anyio.sleep(faults.latency_s)
        if faults.drops_calls_of(headers.get("user-agent", ""), address):
            await _wait_for_disconnect(receive)
            return
        if faults.outage:
            await send_reply(send, Reply(503))
            return
        reply = self._dispatch(service, scope["method"], name, headers, body)
        if _is_write(scope["method"], headers) and faults.loses_answer():
            await _wait_for_disconnect(receive)
            return
        await send_reply(send, reply)

    def _service_faults(self, service: str) -> Faults | None:
        match service:
            case "table":
                return self.faults.table
            case "objects":
                return self.faults.objects
            case "vms":
                return self.faults.vms
            case "weights":
                return self.faults.weights
        return None

    def _dispatch(
        self, service: str, method: str, name: str, headers: dict[str, str], body: bytes
    ) -> Reply:
        match service, method:
            case "table", "POST":
                action = headers.get("x-amz-target", "").rpartition(".")[2]
                return answer_action(self.table, action, body)
            case "objects", "GET":
                return self.objects.get(name)
            case "objects", "PUT":
                return self.objects.put(
                    name, body, headers.get("if-match"), headers.get("if-none-match")
                )
            case "vms", "GET":
                return json_reply(200, {"vms": [_vm_entry(vm) for vm in self.vms]})
            case "weights", "GET" | "HEAD":
                return self._weights_reply(name, method)
        return Reply(405)

    def _weights_reply(self, name: str, method: str) -> Reply:
        now_s = time.monotonic()
        if now_s < self._weights_available_at_s:
            wait_s = self._weights_available_at_s - now_s
            return Reply(429, b"", {"retry-after": f"{wait_s:.3f}"})
        self._weights_available_at_s = now_s + 1 / self.weight_calls_per_s
        size = self.weight_sizes_bytes.get(name)
        if size is None:
            return Reply(404)
        if method == "HEAD":
            return Reply(200, b"", length=size)
        # Only the size is returned; engines download the weights themselves.
        return json_reply(200, {"name": name, "size_bytes": size})


def _vm_entry(vm: ListedVm) -> dict[str, str]:
    return {
        "vm": vm.vm,
        "address": vm.address,
        "availability_zone": vm.availability_zone,
        "role": vm.role,
        "state": vm.state.value,
    }


def _is_write(method: str, headers: dict[str, str]) -> bool:
    if method == "PUT":
        return True
    return headers.get("x-amz-target", "").rpartition(".")[2] in WRITE_ACTIONS


async def _wait_for_disconnect(receive: Receive) -> None:
    """Wait without answering until the client disconnects."""
    while (await receive())["type"] != "http.disconnect":
        pass
