"""Events of token allowances, 9000 to 9099."""

from endivegw.telemetry.event import Event, Level

__all__ = [
    "ROW_SETTLED",
    "ROW_UNREADABLE",
    "STORE_RECOVERED",
    "STORE_UNAVAILABLE",
    "TOKENS_BORROWED",
    "TOKENS_DRAWN",
    "TOKENS_INHERITED",
    "TOKENS_LENT",
    "TOKENS_REFUSED",
    "TOKENS_TAKEN_OVER",
]

TOKENS_DRAWN = Event(
    9001,
    "tokens-drawn",
    Level.INFO,
    "A router drew tokens from budgets or gave some back.",
    ("totals", "revision"),
)
TOKENS_INHERITED = Event(
    9002,
    "tokens-succeeded",
    Level.INFO,
    "A process took over its predecessor's tokens, with the most it may have used.",
    (
        "predecessor",
        "revision",
        "silent_s",
        "lived_s",
        "witnesses",
        "answered",
        "final",
        "drawn",
        "limits",
        "used",
    ),
)
TOKENS_TAKEN_OVER = Event(
    9003,
    "tokens-taken-over",
    Level.WARNING,
    "Another process settled this router's row; it starts without tokens.",
    ("instance",),
)
TOKENS_REFUSED = Event(
    9004,
    "tokens-refused",
    Level.INFO,
    "A request got no tokens, with the figures that decided it; it did not run.",
    (
        "request_id",
        "client_account",
        "tokens",
        "shortage",
        "hand_tokens",
        "reserved_tokens",
        "spare_tokens",
        "left_tokens",
        "exhausted",
        "store_age_s",
        "waited_s",
    ),
)
TOKENS_BORROWED = Event(
    9005,
    "peer-tokens-received",
    Level.INFO,
    "Peers debited tokens for this router.",
    ("client_account", "tokens", "hand_tokens"),
)
TOKENS_LENT = Event(
    9006,
    "peer-tokens-given",
    Level.INFO,
    "This router debited tokens for a peer that asked.",
    ("client_account", "tokens", "least", "peer"),
)
STORE_UNAVAILABLE = Event(
    9007,
    "store-away",
    Level.WARNING,
    "The store does not answer; the router lives on what it holds.",
    ("reason",),
)
STORE_RECOVERED = Event(
    9008, "store-back", Level.INFO, "The store answers again.", ("away_s",)
)
ROW_UNREADABLE = Event(
    9009,
    "row-unreadable",
    Level.ERROR,
    "A row of the store does not decode; the last good state stays in force.",
    ("table", "key", "revision", "detail"),
)
ROW_SETTLED = Event(
    9010,
    "row-settled",
    Level.WARNING,
    "A router worked out what one that does not come back may have used of its tokens;"
    " the rest goes back to the budgets.",
    ("owner", "predecessor", "witnesses", "answered", "drawn", "limits", "used"),
)
