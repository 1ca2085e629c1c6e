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
    "A router drew tokens from a budget; the line has the figures behind the amount.",
    ("budget", "grant_id", "tokens", "figures"),
)
GRANTS_COMMITTED = Event(
    3002,
    "grants-committed",
    Level.DEBUG,
    "One write to the table committed draws, settlements, returns and bill lines.",
    ("operation_id", "changes", "lines", "tries"),
)
BUDGET_REFUSED = Event(
    3003,
    "budget-refused",
    Level.INFO,
    "A request was refused for lack of tokens and did not run.",
    ("budget", "reason", "bound_tokens", "waited_s", "figures"),
)
BUDGET_TABLE_UNAVAILABLE = Event(
    3004,
    "budget-table-away",
    Level.WARNING,
    "The table does not respond; the router spends the tokens that it holds.",
    ("operation_id",),
)
BUDGET_TABLE_RECOVERED = Event(
    3005,
    "budget-table-back",
    Level.INFO,
    "The table responds again.",
    ("away_s",),
)
HOLDER_FENCED = Event(
    3006,
    "holder-fenced",
    Level.WARNING,
    "This router's grants were recovered while the router was paused or partitioned.",
    ("holder", "grants", "tokens_dropped"),
)
GRANT_SEALED_LOCALLY = Event(
    3007,
    "grant-sealed-here",
    Level.INFO,
    "A grant was sealed; the router drops the tokens that it held of the grant.",
    ("grant_id",),
)
TOKENS_LENT = Event(
    3008,
    "tokens-lent",
    Level.INFO,
    "A router debited tokens for a peer that requested them.",
    ("budget", "transfer_id", "grant_id", "tokens"),
)
TOKENS_BORROWED = Event(
    3009,
    "tokens-borrowed",
    Level.INFO,
    "A router credited tokens that a peer had debited for it.",
    ("budget", "transfer_id", "grant_id", "tokens"),
)
RECOVERY_STARTED = Event(
    3010,
    "recovery-started",
    Level.WARNING,
    "Recovery fenced a holder; the sidecars seal its grants next.",
    ("holder",),
)
GRANT_RECOVERED = Event(
    3011,
    "grant-recovered",
    Level.INFO,
    "Recovery settled the use of a grant; the remaining tokens were returned,"
    " written off or held.",
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
    "A sidecar wrote the consumption of its grants to the table.",
    ("grants",),
)
