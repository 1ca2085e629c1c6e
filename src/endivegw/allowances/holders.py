"""Selection of the routers that hold a client account's budget."""

from __future__ import annotations

from typing import Mapping

from endivegw.rendezvous import rendezvous_order
from endivegw.types import AvailabilityZone, ClientAccountName

__all__ = ["HOLDERS", "holders_of"]

#: Routers that hold one account's budget. Four survive the loss of three, and keep the
#: sum of the limits ahead of the use from growing with the fleet.
HOLDERS = 4


def holders_of(
    account: ClientAccountName, zones: Mapping[str, AvailabilityZone]
) -> frozenset[str]:
    """Return the vms that hold an account's budget.

    They are spread over as many availability zones as possible, so that routers in an
    isolated zone can still reach a holder.

    :param zones: the availability zone of each router's vm.
    """
    order = rendezvous_order(account, zones)
    first_of_zone: dict[AvailabilityZone, str] = {}
    for vm in order:
        first_of_zone.setdefault(zones[vm], vm)
    spread = list(first_of_zone.values())
    others = [vm for vm in order if vm not in spread]
    return frozenset((spread + others)[:HOLDERS])
