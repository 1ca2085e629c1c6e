"""Events of direct routers, which call targets themselves, 9100 to 9199."""

from endivegw.telemetry.event import Event, Level

__all__ = [
    "ANSWER_UNMATCHED",
    "ATTEMPT_ENDED_BESIDE",
    "ATTEMPT_FAILED",
    "BODY_LIMIT_LARGE",
    "CALLERS_GAVE_WAY",
    "CONFIGURATION_IN_FORCE",
    "CONFIGURATION_UNREADABLE",
    "CONNECTION_FAILED",
    "CONNECTION_UNANSWERED",
    "DRAINING_STARTED",
    "FEED_LOST",
    "FEED_RECOVERED",
    "LINES_DROPPED",
    "PROCESS_STARTED",
    "PROCESS_STOPPED",
    "READER_CLOSED",
    "REQUEST_ENDED",
    "REQUEST_FAILED",
    "REQUEST_PLACED",
    "REQUEST_REFUSED",
    "ROTATION_CHANGED",
    "SETTINGS_READ",
    "SEVERAL_VERSIONS",
    "STORE_PATH_CHANGED",
    "STREAM_RESUMED",
    "TARGET_CHANGED",
    "TARGET_REPORTED",
    "TARGET_SILENT",
    "TARGET_TERMINATED",
    "TARGET_WARMING_UP",
    "TASK_FAILED",
    "ZONE_CHANGED",
]

REQUEST_REFUSED = Event(
    9101,
    "relay-request-refused",
    Level.INFO,
    "A request was not admitted and did not run.",
    ("request_id", "reason", "detail", "status", "version", "fingerprint"),
)
REQUEST_PLACED = Event(
    9102,
    "relay-request-placed",
    Level.INFO,
    "A request was placed on a target; the line has the figures behind the decision.",
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
        "software_version",
    ),
)
ATTEMPT_FAILED = Event(
    9103,
    "relay-attempt-failed",
    Level.WARNING,
    "An attempt at a target ended without a complete answer. connection tells the"
    " router's connections to targets apart, and exchange counts the requests on it.",
    (
        "request_id",
        "target",
        "address",
        "end",
        "detail",
        "events",
        "fingerprint",
        "connection",
        "exchange",
    ),
)
REQUEST_ENDED = Event(
    9104,
    "relay-request-ended",
    Level.INFO,
    "An admitted request ended; the line has its durations and the tokens charged.",
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
        "objective_s",
        "longest_gap_s",
        "took_s",
        "prompt_tokens",
        "most_output_tokens",
        "reserved_tokens",
        "charged_tokens",
        "cut",
        "resumes",
        "software_version",
    ),
)
REQUEST_FAILED = Event(
    9134,
    "relay-request-failed",
    Level.ERROR,
    "An unexpected exception ended a request; its caller got an answer of the router if"
    " no answer had begun.",
    ("request_id", "detail"),
)
CONFIGURATION_IN_FORCE = Event(
    9110,
    "relay-configuration-in-force",
    Level.INFO,
    "A newer version of the configuration came into force in the router.",
    ("version", "before", "revision", "routes", "client_accounts", "prepaid_tokens"),
)
CONFIGURATION_UNREADABLE = Event(
    9111,
    "relay-configuration-unreadable",
    Level.ERROR,
    "A row cannot be decoded; the last valid state stays in force.",
    ("table", "key", "revision", "detail"),
)
TARGET_CHANGED = Event(
    9112,
    "relay-target-changed",
    Level.INFO,
    "The router's view of a target changed.",
    (
        "target",
        "service",
        "address",
        "software_version",
        "change",
        "revision",
        "source",
        "age_s",
    ),
)
TARGET_TERMINATED = Event(
    9115,
    "relay-target-ended",
    Level.WARNING,
    "A target terminated; this router's requests that were running there were aborted.",
    ("target", "started_ms", "source", "lost", "fingerprints"),
)
TARGET_REPORTED = Event(
    9116,
    "relay-target-said",
    Level.INFO,
    "A target's answer states that the target is leaving, or that it accepts no"
    " requests for a time.",
    ("request_id", "target", "leaving", "pause_s"),
)
TARGET_SILENT = Event(
    9133,
    "relay-target-silent",
    Level.INFO,
    "A target has sent nothing of an answer for some time. The request waits for it,"
    " and is also sent to the target beside it, unless this is null.",
    ("request_id", "target", "events", "beside"),
)
ATTEMPT_ENDED_BESIDE = Event(
    9136,
    "relay-attempt-ended-beside",
    Level.INFO,
    "An attempt was closed while other targets had the same request; overlap_s is the"
    " time for which this target and another one had it.",
    ("request_id", "target", "others", "overlap_s"),
)
ANSWER_UNMATCHED = Event(
    9137,
    "relay-answer-unmatched",
    Level.WARNING,
    "An answer of a target does not carry the id of the request in progress on its"
    " connection; answer_id is null if it carries none.",
    ("request_id", "target", "status", "answer_id", "not_run"),
)
STREAM_RESUMED = Event(
    9138,
    "relay-stream-resumed",
    Level.INFO,
    "A caller resumes a stream, which goes on at the version that began it. Sources are"
    " record (kept by this router), registry (the only version), peer, peer-registry"
    " and agreement (of routers that the store does not answer).",
    ("request_id", "resumes", "service", "software_version", "source"),
)
TARGET_WARMING_UP = Event(
    9117,
    "relay-target-warming-up",
    Level.INFO,
    "A target warms up; this router sends it at most a given number of requests in any"
    " window until then.",
    ("target", "availability_zone", "left_s", "sends", "window_s", "source"),
)
ZONE_CHANGED = Event(
    9118,
    "relay-zone-changed",
    Level.WARNING,
    "The operator evacuated an availability zone, whose targets get no new requests,"
    " or put it back into use. No registered target is there if targets is 0.",
    ("availability_zone", "evacuated", "revision", "source", "targets"),
)
TARGET_LIMIT_CHANGED = Event(
    9125,
    "relay-target-limit-changed",
    Level.INFO,
    "A target states how many requests per second it accepts from all routers"
    " together, or no longer states a limit (null). Sources are an answer or a peer.",
    ("target", "started_ms", "limit_per_s", "part_per_s", "version", "source"),
)
ROW_UNKNOWN = Event(
    9126,
    "relay-row-unknown",
    Level.WARNING,
    "The operator's table has a row that the router does not read. Each key is logged"
    " once.",
    ("table", "key", "revision"),
)
ANSWER_FIELD_UNKNOWN = Event(
    9119,
    "relay-answer-field-unknown",
    Level.WARNING,
    "A target's answer has a field of the platform that the router does not read, or"
    " whose value is malformed. Each name is logged once.",
    ("request_id", "target", "field", "value"),
)
FEED_LOST = Event(
    9113,
    "relay-feed-lost",
    Level.WARNING,
    "The feed of a table does not respond.",
    ("table", "reason"),
)
FEED_RECOVERED = Event(
    9114,
    "relay-feed-regained",
    Level.INFO,
    "The feed of a table responds again.",
    ("table", "away_s", "revision"),
)
PROCESS_STARTED = Event(
    9120,
    "relay-started",
    Level.INFO,
    "The process started to serve requests.",
    ("vm", "instance", "address"),
)
DRAINING_STARTED = Event(
    9121,
    "relay-draining",
    Level.INFO,
    "The process was asked to stop and completes the requests in progress.",
    ("connections",),
)
PROCESS_STOPPED = Event(
    9122,
    "relay-stopped",
    Level.INFO,
    "The process stopped.",
    ("connections",),
)
SETTINGS_READ = Event(
    9124,
    "relay-settings-read",
    Level.INFO,
    "The process was asked to re-read its settings; changes apply from its next start.",
    ("valid", "changed", "detail"),
)
CONNECTION_FAILED = Event(
    9123,
    "relay-connection-failed",
    Level.ERROR,
    "An unexpected exception ended the connection of one caller.",
    ("detail",),
)
SEVERAL_VERSIONS = Event(
    9127,
    "relay-several-versions",
    Level.INFO,
    "Targets of several software versions serve, or served until lately; a stream goes"
    " on only at the version that began it.",
    ("service", "software_versions"),
)
ROTATION_CHANGED = Event(
    9128,
    "relay-rotation-changed",
    Level.WARNING,
    "The router left the rotation of its load balancer, because callers ask for more"
    " than its machine can carry and other routers of the zone have room, or returned.",
    ("in_rotation", "offered", "out", "routers"),
)
STORE_PATH_CHANGED = Event(
    9129,
    "relay-store-path-changed",
    Level.WARNING,
    "The store does not answer this router, which lets others make its calls, or it"
    " answers again.",
    ("direct",),
)
READER_CLOSED = Event(
    9131,
    "relay-reader-closed",
    Level.WARNING,
    "The router closed the connection that has been blocked longest by a peer that does"
    " not read, because too much is held for all such peers together.",
    ("held_bytes", "limit_bytes", "blocked"),
)
CONNECTION_UNANSWERED = Event(
    9132,
    "relay-connection-unanswered",
    Level.WARNING,
    "The connection of a caller ended while whole requests that were read on it had no"
    " whole answer, or in the middle of a request.",
    (
        "cause",
        "by_caller",
        "request_ids",
        "unanswered",
        "answer_bytes",
        "unparsed_bytes",
        "age_s",
        "idle_s",
        "version",
        "version_age_s",
        "draining",
    ),
)
TASK_FAILED = Event(
    9135,
    "relay-task-failed",
    Level.ERROR,
    "A task of the process met an unexpected error. It leaves out what it handled, or"
    " is started again.",
    ("task", "item", "detail"),
)
BODY_LIMIT_LARGE = Event(
    9139,
    "relay-body-limit-large",
    Level.WARNING,
    "The configuration allows bodies that are too large for the share of the memory"
    " that may hold data for callers. They are taken one at a time, beyond that share.",
    ("body_bytes", "held_bytes", "needed_bytes"),
)
CALLERS_GAVE_WAY = Event(
    9140,
    "relay-callers-gave-way",
    Level.WARNING,
    "Since the last such line, requests that had not run were refused because too much"
    " was held in memory, or connections that waited for their callers were closed"
    " because too many were open. client_account holds the most memory.",
    (
        "requests",
        "connections",
        "held_bytes",
        "limit_bytes",
        "open_connections",
        "client_account",
    ),
)
LINES_DROPPED = Event(
    9130,
    "log-lines-left-out",
    Level.WARNING,
    "Log lines were dropped since the last line of this event, because the output"
    " was not read in time.",
    ("left_out",),
)
