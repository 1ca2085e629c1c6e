"""Events of routers that call targets themselves, 9100 to 9199."""

from endivegw.telemetry.event import Event, Level

__all__ = [
    "ATTEMPT_FAILED",
    "CONFIGURATION_IN_FORCE",
    "CONFIGURATION_UNREADABLE",
    "CONNECTION_FAILED",
    "DRAINING_STARTED",
    "FEED_LOST",
    "FEED_RECOVERED",
    "LINES_DROPPED",
    "PROCESS_STARTED",
    "PROCESS_STOPPED",
    "REQUEST_ENDED",
    "REQUEST_PLACED",
    "REQUEST_REFUSED",
    "SETTINGS_READ",
    "TARGET_CHANGED",
    "TARGET_REPORTED",
    "TARGET_TERMINATED",
]

REQUEST_REFUSED = Event(
    9101,
    "relay-request-refused",
    Level.INFO,
    "A request was not admitted; it did not run.",
    ("request_id", "reason", "detail", "status", "version", "fingerprint"),
)
REQUEST_PLACED = Event(
    9102,
    "relay-request-placed",
    Level.INFO,
    "A request goes to a target, with the figures that decided it.",
    (
        "request_id",
        "client_account",
        "target",
        "why",
        "load",
        "cached_tokens",
        "copied_tokens",
        "queued_s",
        "finish_s",
        "reserved_tokens",
    ),
)
ATTEMPT_FAILED = Event(
    9103,
    "relay-attempt-failed",
    Level.WARNING,
    "A send to a target ended without an answer to pass on.",
    ("request_id", "target", "address", "end", "detail", "events", "fingerprint"),
)
REQUEST_ENDED = Event(
    9104,
    "relay-request-ended",
    Level.INFO,
    "An admitted request ended, with what it took and what was charged.",
    (
        "request_id",
        "client_account",
        "route",
        "service",
        "outcome",
        "target",
        "sends",
        "events",
        "first_s",
        "longest_gap_s",
        "took_s",
        "prompt_tokens",
        "most_output_tokens",
        "reserved_tokens",
        "charged_tokens",
        "cut",
    ),
)
CONFIGURATION_IN_FORCE = Event(
    9110,
    "relay-configuration-in-force",
    Level.INFO,
    "The router goes by another version of the configuration from now on.",
    ("version", "before", "revision", "routes", "client_accounts", "prepaid_tokens"),
)
CONFIGURATION_UNREADABLE = Event(
    9111,
    "relay-configuration-unreadable",
    Level.ERROR,
    "A row does not decode; the last good state stays in force.",
    ("table", "key", "revision", "detail"),
)
TARGET_CHANGED = Event(
    9112,
    "relay-target-changed",
    Level.INFO,
    "The router believes something else of a target.",
    ("target", "service", "address", "change", "revision", "source", "age_s"),
)
TARGET_TERMINATED = Event(
    9115,
    "relay-target-ended",
    Level.WARNING,
    "A target ended, and broke the requests that this router had there.",
    ("target", "started_ms", "source", "lost", "fingerprints"),
)
TARGET_REPORTED = Event(
    9116,
    "relay-target-said",
    Level.INFO,
    "An answer of a target says that it leaves, or that it wants nothing for a time.",
    ("request_id", "target", "leaving", "pause_s"),
)
FEED_LOST = Event(
    9113,
    "relay-feed-lost",
    Level.WARNING,
    "The feed of a table does not answer.",
    ("table", "reason"),
)
FEED_RECOVERED = Event(
    9114,
    "relay-feed-regained",
    Level.INFO,
    "The feed of a table answers again.",
    ("table", "away_s", "revision"),
)
PROCESS_STARTED = Event(
    9120,
    "relay-started",
    Level.INFO,
    "The process serves.",
    ("vm", "instance", "address"),
)
DRAINING_STARTED = Event(
    9121,
    "relay-draining",
    Level.INFO,
    "The process was told to stop; it ends what it has.",
    ("connections",),
)
PROCESS_STOPPED = Event(
    9122,
    "relay-stopped",
    Level.INFO,
    "The process ends.",
    ("connections",),
)
SETTINGS_READ = Event(
    9124,
    "relay-settings-read",
    Level.INFO,
    "The process was told that its settings changed; they hold from its next start.",
    ("valid", "changed", "detail"),
)
CONNECTION_FAILED = Event(
    9123,
    "relay-connection-failed",
    Level.ERROR,
    "A fault of the program ended one caller's connection.",
    ("detail",),
)
LINES_DROPPED = Event(
    9130,
    "log-lines-left-out",
    Level.WARNING,
    "Lines were left out since the one before, because nobody read them in time.",
    ("left_out",),
)
