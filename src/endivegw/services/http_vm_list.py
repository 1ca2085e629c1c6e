"""The platform's list of virtual machines, read as JSON over HTTP."""

from __future__ import annotations

import json

from endivegw.results import Done, Reason, Refused, Result
from endivegw.services.http_calls import Answer, HttpCaller, failed_read
from endivegw.services.ports import ListedVm, VmState
from endivegw.types import AvailabilityZone

__all__ = ["HttpVmList"]


class HttpVmList:
    """Implement the VM list port; the answer is ``{"vms": [{...}, ...]}``."""

    def __init__(self, url: str, *, client_name: str = "endivegw") -> None:
        self._caller = HttpCaller(url, client_name=client_name)

    async def list_vms(self, *, timeout_s: float) -> Result[tuple[ListedVm, ...]]:
        """Return the machines that the platform knows of."""
        answer = await self._caller.call("GET", "", timeout_s=timeout_s)
        if not isinstance(answer, Answer):
            return failed_read(answer)
        if answer.status != 200:
            return Refused(Reason.UNREACHABLE, f"HTTP {answer.status}")
        try:
            lines = json.loads(answer.body)["vms"]
            return Done(tuple(_parse_vm(line) for line in lines))
        except (KeyError, TypeError, ValueError) as error:
            return Refused(Reason.BAD_REQUEST, f"the VM list is malformed: {error}")

    async def close(self) -> None:
        """Close all kept connections."""
        await self._caller.close()


def _parse_vm(line: dict[str, str]) -> ListedVm:
    return ListedVm(
        vm=line["vm"],
        address=line["address"],
        availability_zone=AvailabilityZone(line["availability_zone"]),
        role=line["role"],
        state=VmState(line["state"]),
    )
