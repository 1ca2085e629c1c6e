"""Events of prepaid budgets, 3000 to 3999."""

from endivegw.telemetry.event import Event, Level

__all__ = [
    "BUDGET_REFUSED",
    "BUDGET_TABLE_RECOVERED",
    "BUDGET_TABLE_UNAVAILABLE",
    "CHECKPOINT_WRITTEN",
    "GRANTS_COMMITTED",
    "GRANT_DRAWN",
    "GRANT_RECOVERED",
    "GRANT_SEALED_LOCALLY",
    "HOLDER_FENCED",
    "RECOVERY_STARTED",
    "TOKENS_BORROWED",
    "TOKENS_LENT",
]

GRANT_DRAWN = Event(
    3001,
    "grant-drawn",
    Level.INFO,
    "A router drew tokens of a budget, with the figures the size was decided on.",
    ("budget", "grant_id", "tokens", "figures"),
)
GRANTS_COMMITTED = Event(
    3002,
    "grants-committed",
    Level.DEBUG,
    "One write to the table carried draws, settlements, returns and bill lines.",
    ("operation_id", "changes", "lines", "tries"),
)
BUDGET_REFUSED = Event(
    3003,
    "budget-refused",
    Level.INFO,
    "A request got no tokens; it did not run.",
    ("budget", "reason", "bound_tokens", "waited_s", "figures"),
)
BUDGET_TABLE_UNAVAILABLE = Event(
    3004,
    "budget-table-away",
    Level.WARNING,
    "The table does not answer; routers spend what they have in hand.",
    ("operation_id",),
)
BUDGET_TABLE_RECOVERED = Event(
    3005,
    "budget-table-back",
    Level.INFO,
    "The table answers again.",
    ("away_s",),
)
HOLDER_FENCED = Event(
    3006,
    "holder-fenced",
    Level.WARNING,
    "Recovery took this router's grants over while it was paused or cut off.",
    ("holder", "grants", "tokens_dropped"),
)
GRANT_SEALED_LOCALLY = Event(
    3007,
    "grant-sealed-here",
    Level.INFO,
    "A grant is sealed; the router drops what it had of it.",
    ("grant_id",),
)
TOKENS_LENT = Event(
    3008,
    "tokens-lent",
    Level.INFO,
    "A router debited tokens for a peer that asked.",
    ("budget", "transfer_id", "grant_id", "tokens"),
)
TOKENS_BORROWED = Event(
    3009,
    "tokens-borrowed",
    Level.INFO,
    "A router credited tokens that a peer had debited.",
    ("budget", "transfer_id", "grant_id", "tokens"),
)
RECOVERY_STARTED = Event(
    3010,
    "recovery-started",
    Level.WARNING,
    "A holder is fenced off and its grants are sealed at the sidecars.",
    ("holder",),
)
GRANT_RECOVERED = Event(
    3011,
    "grant-recovered",
    Level.INFO,
    "A grant's use was settled and its rest returned or held back.",
    (
        "grant_id",
        "budget",
        "settled_tokens",
        "written_off_tokens",
        "returned_tokens",
        "held_tokens",
    ),
)
CHECKPOINT_WRITTEN = Event(
    3012,
    "checkpoint-written",
    Level.DEBUG,
    "A sidecar wrote the use of its grants to the table.",
    ("grants",),
)
