"""VM list client that reads JSON over HTTP."""

from __future__ import annotations

import json

from endivegw.results import Done, Reason, Refused, Result
from endivegw.services.http_calls import HttpCaller, HttpResponse, read_failure
from endivegw.services.ports import ListedVm, VmState
from endivegw.types import AvailabilityZone

__all__ = ["HttpVmList"]


class HttpVmList:
    """Implement the VM list port; the response body is ``{"vms": [{...}, ...]}``."""

    def __init__(self, url: str, *, client_name: str = "endivegw") -> None:
        self._caller = HttpCaller(url, client_name=client_name)

    async def list_vms(self, *, timeout_s: float) -> Result[tuple[ListedVm, ...]]:
        """Return the virtual machines that the platform lists."""
        response = await self._caller.call("GET", "", timeout_s=timeout_s)
        if not isinstance(response, HttpResponse):
            return read_failure(response)
        if response.status != 200:
            return Refused(Reason.UNREACHABLE, f"HTTP {response.status}")
        try:
            entries = json.loads(response.body)["vms"]
            return Done(tuple(_parse_vm(entry) for entry in entries))
        except (KeyError, TypeError, ValueError) as error:
            return Refused(Reason.BAD_REQUEST, f"malformed VM list: {error}")

    async def close(self) -> None:
        """Close all pooled connections."""
        await self._caller.close()


def _parse_vm(entry: dict[str, str]) -> ListedVm:
    return ListedVm(
        vm=entry["vm"],
        address=entry["address"],
        availability_zone=AvailabilityZone(entry["availability_zone"]),
        role=entry["role"],
        state=VmState(entry["state"]),
    )
