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
    "An attempt was passed to the target.",
    ("attempt_id", "client_account", "repeatable", "running"),
)
ATTEMPT_JOINED = Event(
    2002,
    "attempt-joined",
    Level.INFO,
    "A caller's retry joined an attempt that was started earlier and reads its answer.",
    ("attempt_id", "joined_attempt_id", "client_account", "offset_bytes"),
)
ATTEMPT_REFUSED = Event(
    2003,
    "attempt-refused",
    Level.INFO,
    "An attempt was refused before it started.",
    ("attempt_id", "client_account", "reason", "detail"),
)
ATTEMPT_ENDED = Event(
    2004,
    "attempt-ended",
    Level.INFO,
    "An attempt at the target ended, with or without a complete answer.",
    ("attempt_id", "client_account", "outcome", "total_tokens", "elapsed_s"),
)
ATTEMPT_CANCELLED = Event(
    2005,
    "attempt-cancelled",
    Level.INFO,
    "A router requested the cancellation of an attempt.",
    ("attempt_id", "answer"),
)
ATTEMPT_CRASHED = Event(
    2006,
    "attempt-broke",
    Level.ERROR,
    "An internal error occurred in an attempt; an incomplete answer ends with an"
    " error.",
    ("attempt_id", "detail"),
)
DRAIN_STARTED = Event(
    2010,
    "drain-started",
    Level.INFO,
    "The sidecar accepts no new work and lets running work complete.",
    ("running", "bound_s"),
)
DRAIN_ENDED = Event(
    2011,
    "drain-ended",
    Level.INFO,
    "All running work ended, or the time limit of the drain passed.",
    ("running", "elapsed_s"),
)
GRANTS_SEALED = Event(
    2012,
    "grants-sealed",
    Level.INFO,
    "Grants of a router were sealed; further work under them is refused.",
    ("grants", "consumed_tokens", "running_tokens"),
)
CLAIM_ANSWERED = Event(
    2020,
    "claim-answered",
    Level.INFO,
    "The sidecar answered a claim for a key slot.",
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
    "The sidecar no longer owns a key slot.",
    ("slot", "epoch"),
)
SLOT_RELEASED = Event(
    2023,
    "slot-released",
    Level.INFO,
    "The sidecar flushed a key slot and released it.",
    ("slot", "epoch"),
)
