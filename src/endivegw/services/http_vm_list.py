"""VM list client that reads JSON over HTTP."""

from __future__ import annotations

from typing import Any, Callable

from endivegw.documents import (
    DocumentError,
    decoding,
    parse_document,
    read_ip,
    read_name,
)
from endivegw.results import Done, Reason, Refused, Result
from endivegw.services.http_calls import HttpCaller, HttpResponse, read_failure
from endivegw.services.ports import ListedVm, VmState
from endivegw.types import AvailabilityZone

__all__ = ["HttpVmList", "decode_vm_list"]


def _ignore(error: DocumentError) -> None:
    """Do not report entries that are left out."""


class HttpVmList:
    """Implement the VM list port; the response body is ``{"vms": [{...}, ...]}``.

    :param on_unreadable: called with the error of each entry that is left out.
    """

    def __init__(
        self,
        url: str,
        *,
        client_name: str = "endivegw",
        on_unreadable: Callable[[DocumentError], None] = _ignore,
    ) -> None:
        self._caller = HttpCaller(url, client_name=client_name)
        self._on_unreadable = on_unreadable

    async def list_vms(self, *, timeout_s: float) -> Result[tuple[ListedVm, ...]]:
        """Return the virtual machines that the platform lists."""
        response = await self._caller.call("GET", "", timeout_s=timeout_s)
        if not isinstance(response, HttpResponse):
            return read_failure(response)
        if response.status != 200:
            return Refused(Reason.UNREACHABLE, f"HTTP {response.status}")
        try:
            return Done(decode_vm_list(response.body, self._on_unreadable))
        except DocumentError as error:
            return Refused(Reason.BAD_REQUEST, f"malformed VM list: {error}")

    async def close(self) -> None:
        """Close all pooled connections."""
        await self._caller.close()


def decode_vm_list(
    body: bytes, on_unreadable: Callable[[DocumentError], None] = _ignore
) -> tuple[ListedVm, ...]:
    """Decode a list of vms; entries that do not decode are left out.

    :raises DocumentError: if the body is no such list.
    """
    vms: list[ListedVm] = []
    with decoding("list of vms"):
        for entry in parse_document(body)["vms"]:
            try:
                vms.append(_decode_vm(entry))
            except DocumentError as error:
                on_unreadable(error)
    return tuple(vms)


def _decode_vm(entry: Any) -> ListedVm:
    with decoding("entry of a vm"):
        return ListedVm(
            vm=read_name(entry["vm"]),
            address=read_ip(entry["address"]),
            availability_zone=AvailabilityZone(read_name(entry["availability_zone"])),
            role=read_name(entry["role"]),
            state=VmState(entry["state"]),
        )
