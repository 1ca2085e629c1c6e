"""Share each reading of the platform's vm list among all components."""

from __future__ import annotations

from collections import Counter
from typing import Callable, Mapping

from endivegw.results import Done, Result
from endivegw.services import ListedVm, VmListPort
from endivegw.types import AvailabilityZone

__all__ = ["ObservedVmList", "others_by_zone"]

Listener = Callable[[tuple[ListedVm, ...], float], None]


class ObservedVmList:
    """Wrap a vm list port, and notify listeners of each reading.

    :ivar current: the last reading; empty before the first.
    :ivar read_at_s: time of the last reading, minus infinity before the first.
    """

    def __init__(self, vms: VmListPort, clock: Callable[[], float]) -> None:
        self._vms = vms
        self._clock = clock
        self._listeners: list[Listener] = []
        self.current: tuple[ListedVm, ...] = ()
        self.read_at_s = float("-inf")

    def on_vms_listed(self, listener: Listener) -> None:
        """Register a listener that is called with each reading and its time."""
        self._listeners.append(listener)

    async def list_vms(self, *, timeout_s: float) -> Result[tuple[ListedVm, ...]]:
        """Return the vms that the platform lists."""
        result = await self._vms.list_vms(timeout_s=timeout_s)
        if isinstance(result, Done):
            self.current = result.value
            self.read_at_s = self._clock()
            for listener in self._listeners:
                listener(self.current, self.read_at_s)
        return result


def others_by_zone(
    vms: tuple[ListedVm, ...], local_vm: str
) -> Mapping[AvailabilityZone, int]:
    """Return the number of other processes of the fleet by availability zone."""
    return Counter(vm.availability_zone for vm in vms if vm.vm != local_vm)
