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
    "VM_UNREADABLE",
]

PEER_CHANGED = Event(
    5001,
    "peer-changed",
    Level.INFO,
    "The state of a peer, as observed by this process, changed.",
    ("vm", "role", "before", "after"),
)
INSTANCE_REPLACED = Event(
    5002,
    "instance-replaced",
    Level.WARNING,
    "Another process responds at a peer's address; the former process's state is lost.",
    ("vm", "former", "present"),
)
VM_LIST_UNREADABLE = Event(
    5003,
    "vm-list-unread",
    Level.WARNING,
    "The platform's list of vms could not be read; the last list stays in use.",
    ("reason",),
)
VM_UNREADABLE = Event(
    5004,
    "vm-list-entry-unread",
    Level.WARNING,
    "An entry of the platform's list of vms does not decode and is left out.",
    ("detail",),
)
ORDER_SENT = Event(
    5101,
    "order-sent",
    Level.INFO,
    "A sidecar sends an order with a fencing number to its engine.",
    ("target", "kind", "name", "version", "fence"),
)
ORDER_ENDED = Event(
    5102,
    "order-ended",
    Level.INFO,
    "An order failed, or was confirmed by reading the engine's state.",
    ("target", "sequence", "state", "attempts", "detail"),
)
ORDER_REPAIRED = Event(
    5103,
    "order-repaired",
    Level.WARNING,
    "An engine deviated from the state that its orders define, and an order"
    " corrected it.",
    ("target", "kind", "name", "version"),
)
ORDER_WINDOW_MISSED = Event(
    5104,
    "order-window-missed",
    Level.WARNING,
    "An order was not sent because its claim had expired: the sidecar was paused,"
    " or the table was slow.",
    ("target", "fence"),
)
