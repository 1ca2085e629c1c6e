"""Events of membership and of orders to engines, 5000 to 5999."""

from endivegw.telemetry.event import Event, Level

__all__ = ["INSTANCE_REPLACED", "LIST_UNREAD", "PEER_CHANGED"]

PEER_CHANGED = Event(
    5001,
    "peer-changed",
    Level.INFO,
    "A peer looks different from here than before.",
    ("vm", "role", "before", "after"),
)
INSTANCE_REPLACED = Event(
    5002,
    "instance-replaced",
    Level.WARNING,
    "Another process answers under a peer's address; what the former kept is lost.",
    ("vm", "former", "present"),
)
LIST_UNREAD = Event(
    5003,
    "vm-list-unread",
    Level.WARNING,
    "The platform's list of machines could not be read; the last reading stays.",
    ("reason",),
)
