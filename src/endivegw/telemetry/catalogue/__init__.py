"""All numbered events, one module per component.

Each component has a range of numbers, which starts at: 1000 router, 2000 sidecar,
3000 budgets, 4000 configuration, 5000 membership and orders, 6000 platform,
7000 operators, 8000 daemons, 9000 allowances, 9100 relay, 9200 quarantine.
"""

from endivegw.telemetry.catalogue import (
    allowances,
    budgets,
    configuration,
    daemons,
    membership,
    operators,
    platform,
    quarantine,
    relay,
    router,
    sidecar,
)
from endivegw.telemetry.event import Event

__all__ = ["ALL_EVENTS"]

_MODULES = (
    router,
    sidecar,
    budgets,
    configuration,
    membership,
    platform,
    operators,
    daemons,
    allowances,
    relay,
    quarantine,
)

#: All events, sorted by number.
ALL_EVENTS: tuple[Event, ...] = tuple(
    sorted(
        (
            value
            for module in _MODULES
            for value in vars(module).values()
            if isinstance(value, Event)
        ),
        key=lambda event: event.number,
    )
)
