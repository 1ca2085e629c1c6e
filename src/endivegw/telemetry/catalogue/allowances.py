"""Events of token allowances, 9000 to 9099."""

from endivegw.telemetry.event import Event, Level

__all__ = [
    "ROW_REMOVED",
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
    "A router drew tokens from budgets or returned tokens to them.",
    ("totals", "revision"),
)
TOKENS_INHERITED = Event(
    9002,
    "tokens-succeeded",
    Level.INFO,
    "A process took over its predecessor's tokens; the maximum that the predecessor"
    " may have used counts as used.",
    (
        "predecessor",
        "revision",
        "silent_s",
        "lived_s",
        "witnesses",
        "answered",
        "waived",
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
    "Another process settled this router's row; the router starts over without tokens.",
    ("instance",),
)
TOKENS_REFUSED = Event(
    9004,
    "tokens-refused",
    Level.INFO,
    "A request was refused for lack of tokens and did not run; the line has the"
    " figures behind the decision.",
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
    "The router credited tokens that a peer had debited for it.",
    ("client_account", "tokens", "hand_tokens"),
)
TOKENS_LENT = Event(
    9006,
    "peer-tokens-given",
    Level.INFO,
    "The router debited tokens for a peer that requested them.",
    ("client_account", "tokens", "least", "peer"),
)
STORE_UNAVAILABLE = Event(
    9007,
    "store-away",
    Level.WARNING,
    "The store does not respond; the router continues with the tokens that it holds.",
    ("reason",),
)
STORE_RECOVERED = Event(
    9008, "store-back", Level.INFO, "The store responds again.", ("away_s",)
)
ROW_UNREADABLE = Event(
    9009,
    "row-unreadable",
    Level.ERROR,
    "A row of the store cannot be decoded; a budget keeps its last valid state, and"
    " the tokens of a holder's row stay drawn.",
    ("table", "key", "revision", "detail"),
)
ROW_SETTLED = Event(
    9010,
    "row-settled",
    Level.WARNING,
    "A router settled the row of an unresponsive router: the maximum that the"
    " latter may have used counts as used, and the rest goes back to the budgets.",
    (
        "owner",
        "predecessor",
        "lived_s",
        "witnesses",
        "answered",
        "waived",
        "drawn",
        "limits",
        "stated",
        "used",
    ),
)
ROW_REMOVED = Event(
    9011,
    "row-removed",
    Level.INFO,
    "A router that stops removed its row; tokens drawn beyond the use are lost unless"
    " the same write returned them.",
    ("revision", "drawn", "used", "returned_to", "prepaid"),
)
