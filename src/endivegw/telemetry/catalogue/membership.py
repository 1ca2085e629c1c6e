"""Events of membership and of orders to engines, 5000 to 5999."""

from endivegw.telemetry.event import Event, Level

__all__ = [
    "INSTANCE_REPLACED",
    "ORDER_ENDED",
    "ORDER_REPAIRED",
    "ORDER_SENT",
    "ORDER_WINDOW_MISSED",
    "PEER_CHANGED",
    "VM_LIST_UNREADABLE",
]

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
VM_LIST_UNREADABLE = Event(
    5003,
    "vm-list-unread",
    Level.WARNING,
    "The platform's list of machines could not be read; the last reading stays.",
    ("reason",),
)
ORDER_SENT = Event(
    5101,
    "order-sent",
    Level.INFO,
    "A sidecar sends its engine an order under a fencing number.",
    ("target", "kind", "name", "version", "fence"),
)
ORDER_ENDED = Event(
    5102,
    "order-ended",
    Level.INFO,
    "An order was confirmed by a read-back, or has failed.",
    ("target", "sequence", "state", "attempts", "detail"),
)
ORDER_REPAIRED = Event(
    5103,
    "order-repaired",
    Level.WARNING,
    "An engine was not in the state that its orders add up to, and was brought back.",
    ("target", "kind", "name", "version"),
)
ORDER_WINDOW_MISSED = Event(
    5104,
    "order-window-missed",
    Level.WARNING,
    "A claim was too old to send under: the sidecar was paused, or the table slow.",
    ("target", "fence"),
)
