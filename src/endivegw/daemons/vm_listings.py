"""Read the platform's list of machines once for all who need it."""

from __future__ import annotations

from collections import Counter
from typing import Callable, Mapping

from endivegw.results import Done, Result
from endivegw.services import ListedVm, VmListPort
from endivegw.types import AvailabilityZone

__all__ = ["ObservedVmList", "others_by_zone"]

Listener = Callable[[tuple[ListedVm, ...], float], None]


class ObservedVmList:
    """Pass the list through, and tell listeners of each reading.

    :ivar current: the last reading; empty before the first.
    """

    def __init__(self, vms: VmListPort, clock: Callable[[], float]) -> None:
        self._vms = vms
        self._clock = clock
        self._listeners: list[Listener] = []
        self.current: tuple[ListedVm, ...] = ()
        self.read_at_s = float("-inf")

    def on_reading(self, listener: Listener) -> None:
        """Call a listener with each reading and its time."""
        self._listeners.append(listener)

    async def list_vms(self, *, timeout_s: float) -> Result[tuple[ListedVm, ...]]:
        """Return the machines that the platform knows of."""
        result = await self._vms.list_vms(timeout_s=timeout_s)
        if isinstance(result, Done):
            self.current = result.value
            self.read_at_s = self._clock()
            for listener in self._listeners:
                listener(self.current, self.read_at_s)
        return result


def others_by_zone(
    vms: tuple[ListedVm, ...], own_vm: str
) -> Mapping[AvailabilityZone, int]:
    """Return how many other processes of the fleet there are, by zone."""
    return Counter(vm.availability_zone for vm in vms if vm.vm != own_vm)
