"""Events of sidecars, 2000 to 2999."""

from endivegw.telemetry.event import Event, Level

__all__ = [
    "ATTEMPT_CANCELLED",
    "ATTEMPT_CRASHED",
    "ATTEMPT_ENDED",
    "ATTEMPT_JOINED",
    "ATTEMPT_REFUSED",
    "ATTEMPT_STARTED",
    "CLAIM_ANSWERED",
    "DRAIN_ENDED",
    "DRAIN_STARTED",
    "GRANTS_SEALED",
    "SLOT_ACQUIRED",
    "SLOT_LOST",
    "SLOT_RELEASED",
]

ATTEMPT_STARTED = Event(
    2001,
    "attempt-started",
    Level.INFO,
    "An attempt was handed to the target.",
    ("attempt_id", "client_account", "repeatable", "running"),
)
ATTEMPT_JOINED = Event(
    2002,
    "attempt-joined",
    Level.INFO,
    "A caller's retry reads the answer of an attempt that was started before.",
    ("attempt_id", "joined_attempt_id", "client_account", "offset_bytes"),
)
ATTEMPT_REFUSED = Event(
    2003,
    "attempt-refused",
    Level.INFO,
    "An attempt was refused before anything ran.",
    ("attempt_id", "client_account", "reason", "detail"),
)
ATTEMPT_ENDED = Event(
    2004,
    "attempt-ended",
    Level.INFO,
    "An attempt at the target ended, whole or not.",
    ("attempt_id", "client_account", "outcome", "total_tokens", "elapsed_s"),
)
ATTEMPT_CANCELLED = Event(
    2005,
    "attempt-cancelled",
    Level.INFO,
    "A router asked for the end of an attempt.",
    ("attempt_id", "answer"),
)
ATTEMPT_CRASHED = Event(
    2006,
    "attempt-broke",
    Level.ERROR,
    "An attempt met a mistake in the program; its answer ends in an error.",
    ("attempt_id", "detail"),
)
DRAIN_STARTED = Event(
    2010,
    "drain-started",
    Level.INFO,
    "The sidecar takes no new work and lets running work end.",
    ("running", "bound_s"),
)
DRAIN_ENDED = Event(
    2011,
    "drain-ended",
    Level.INFO,
    "Running work ended, or the bound of the drain passed.",
    ("running", "elapsed_s"),
)
GRANTS_SEALED = Event(
    2012,
    "grants-sealed",
    Level.INFO,
    "Grants of a router were sealed; later work under them is refused.",
    ("grants", "consumed_tokens", "running_tokens"),
)
CLAIM_ANSWERED = Event(
    2020,
    "claim-answered",
    Level.INFO,
    "The owner of a key slot decided on a claim.",
    ("slot", "attempt_id", "answer"),
)
SLOT_ACQUIRED = Event(
    2021,
    "slot-taken",
    Level.INFO,
    "The sidecar became the owner of a key slot.",
    ("slot", "epoch", "tainted"),
)
SLOT_LOST = Event(
    2022,
    "slot-lost",
    Level.INFO,
    "The sidecar is no longer the owner of a key slot.",
    ("slot", "epoch"),
)
SLOT_RELEASED = Event(
    2023,
    "slot-released",
    Level.INFO,
    "The sidecar flushed a key slot and let go of it.",
    ("slot", "epoch"),
)
