"""Reconstruct the trace of a request from the log lines of any number of processes."""

from __future__ import annotations

import json
from collections import Counter
from typing import Any, Callable, Iterable, Iterator, Mapping

from attrs import field, frozen

__all__ = [
    "LogLine",
    "OutcomeCounts",
    "RequestTrace",
    "TraceStep",
    "count_outcomes",
    "read_log_lines",
    "trace_request",
]

#: Lines without a request id are considered from this long before a request starts:
#: a router queries its peers and the store several times within that span.
_CONTEXT_S = 2.0

#: Descriptions of outcomes and reasons of refusals; others are shown unchanged.
_OUTCOME_TEXTS = {
    "answered": "The caller received the target's complete answer.",
    "caller-left": "The caller disconnected before its answer was complete.",
    "cancelled": "The router ended the connection before the answer was complete.",
    "stopped": "The time for the router's shutdown passed first.",
    "failed": "An internal error ended it.",
    "deadline": "The request's deadline passed first.",
    "insufficient_quota": (
        "Refused (402): the account's prepaid budget did not cover it. It did not run."
    ),
    "budget_unavailable": (
        "Refused (503): the tokens could not be reached in time. It did not run."
    ),
    "answer_lost": "The target's answer was lost; the request may have run (502).",
    "quarantined": (
        "Refused (503): targets terminated while they ran it before. It did not run."
    ),
    "unknown_stream": (
        "Refused (503): no router knew which software version began the stream. It did"
        " not run."
    ),
    "version_unavailable": (
        "Refused (503): no target of the software version that began the stream could"
        " run it in time. It did not run."
    ),
    "router_full": (
        "Refused (503): the router's machine carried no more. It did not run."
    ),
    "overloaded": "Refused (503): no target could run it in time. It did not run.",
    "cut": "A better answer came too late: the one to the caller had started.",
}


@frozen
class LogLine:
    """One log line of an event.

    :param at: time in ISO format, whose lexical order is the order in time.
    :param vm: machine of the process that wrote the line.
    """

    at: str
    event: int
    vm: str
    fields: Mapping[str, Any] = field(factory=dict)

    @property
    def at_s(self) -> float:
        """Return the seconds since midnight, for durations within one request."""
        hours, minutes, seconds = self.at[11:23].split(":")
        return int(hours) * 3600 + int(minutes) * 60 + float(seconds)


@frozen
class TraceStep:
    """One step of a request: the event as a sentence, with the figures behind it."""

    at: str
    vm: str
    event: int
    text: str


@frozen
class RequestTrace:
    """The steps of a request in order of time, and the cause of its outcome.

    :param cause: one or more sentences; empty if no line has the request's id.
    """

    request_id: str
    steps: tuple[TraceStep, ...] = ()
    cause: str = ""


@frozen
class OutcomeCounts:
    """Numbers of requests by outcome, and by time window and outcome."""

    outcomes: Mapping[str, int]
    windows: Mapping[str, Mapping[str, int]]


def read_log_lines(texts: Iterable[str]) -> Iterator[LogLine]:
    """Yield the lines that are events.

    Text before the JSON object, such as the prefix of a log collector, is skipped.
    """
    for text in texts:
        start = text.find("{")
        if start < 0:
            continue
        try:
            fields = json.loads(text[start:])
            yield LogLine(
                str(fields["time"]), int(fields["event"]), fields.get("vm", ""), fields
            )
        except (ValueError, TypeError, KeyError):
            continue


def trace_request(request_id: str, lines: Iterable[LogLine]) -> RequestTrace:
    """Return what happened to a request, with the figures that decided it.

    Other tries of the caller at the same stream are part of it.
    """
    all_lines = sorted(lines, key=lambda line: line.at)
    ids = _ids_of_stream(request_id, all_lines)
    request_lines = [line for line in all_lines if ids.intersection(_ids_of(line))]
    if not request_lines:
        return RequestTrace(request_id)
    steps = request_lines + list(_context_lines(request_lines, all_lines))
    steps.sort(key=lambda line: line.at)
    trace = (TraceStep(line.at, line.vm, line.event, describe(line)) for line in steps)
    return RequestTrace(request_id, tuple(trace), _cause(request_lines, steps))


def _ids_of(line: LogLine) -> list[str]:
    """Return the ids of the requests that a line names."""
    named = line.fields.get("request_ids") or [line.fields.get("request_id")]
    return [request_id for request_id in named if request_id]


def _ids_of_stream(request_id: str, lines: list[LogLine]) -> set[str]:
    """Return the ids of all tries at the stream of a request."""
    tries = [line.fields for line in lines if line.fields.get("resumes")]
    first_ids = {request_id} | {
        str(fields["resumes"])
        for fields in tries
        if fields.get("request_id") == request_id
    }
    later_ids = {
        str(fields.get("request_id"))
        for fields in tries
        if fields["resumes"] in first_ids
    }
    return first_ids | later_ids


def count_outcomes(lines: Iterable[LogLine], window_s: float) -> OutcomeCounts:
    """Count requests by outcome, in total and by time window."""
    outcomes: Counter[str] = Counter()
    windows: dict[str, Counter[str]] = {}
    for line in lines:
        outcome = line.fields.get("outcome") or line.fields.get("reason")
        if line.event not in (9101, 9104) or not outcome:
            continue
        outcomes[outcome] += 1
        start_s = int(line.at_s // window_s * window_s)
        clock = f"{start_s // 3600:02}:{start_s // 60 % 60:02}:{start_s % 60:02}"
        windows.setdefault(line.at[:11] + clock, Counter())[outcome] += 1
    return OutcomeCounts(outcomes, windows)


def describe(line: LogLine) -> str:
    """Return a line as a sentence, or the name of its event without a formatter."""
    formatter = _FORMATTERS.get(line.event)
    if formatter is None:
        return str(line.fields.get("message", line.event))
    return formatter(line.fields)


def _context_lines(
    request_lines: list[LogLine], all_lines: list[LogLine]
) -> Iterator[LogLine]:
    """Yield lines without a request id that concern the request.

    They name its account, target or fingerprint, or concern the whole process.
    """
    start_s, end_s = request_lines[0].at_s - _CONTEXT_S, request_lines[-1].at_s
    took_s = max(float(line.fields.get("took_s") or 0.0) for line in request_lines)
    start_s -= took_s
    vms = {line.vm for line in request_lines}
    fingerprints = {line.fields.get("fingerprint") for line in request_lines} - {None}
    accounts = {line.fields.get("client_account") for line in request_lines} - {None}
    targets = {line.fields.get("target") for line in request_lines} - {None, ""}
    for line in all_lines:
        if _ids_of(line) or not start_s <= line.at_s <= end_s:
            continue
        if line.vm not in vms:
            continue
        of_account = line.fields.get("client_account") in accounts
        of_target = line.fields.get("target") in targets
        of_fingerprint = line.fields.get("fingerprint") in fingerprints
        if of_account or of_target or of_fingerprint or line.event in _PROCESS_EVENTS:
            yield line


def _cause(request_lines: list[LogLine], steps: list[LogLine]) -> str:
    ends = [line for line in request_lines if line.event in (9101, 9104)]
    end = ends[-1] if ends else None
    unanswered = [line for line in request_lines if line.event == 9132]
    if end is None and unanswered:
        return describe(unanswered[-1])
    if end is None:
        return "No line says how it ended: its router ended before it did."
    outcome = str(end.fields.get("outcome") or end.fields.get("reason"))
    cause = _OUTCOME_TEXTS.get(outcome, outcome)
    refused = [line for line in steps if line.event == 9004]
    if outcome in ("insufficient_quota", "budget_unavailable") and refused:
        return f"{cause} {describe(refused[-1])}"
    failed = [line for line in request_lines if line.event == 9103]
    if failed and outcome != "answered":
        return f"{cause} {describe(failed[-1])}"
    if outcome == "answered":
        return f"{cause} {_latency(end.fields)}"
    return cause


def _latency(fields: Mapping[str, Any]) -> str:
    first_s, gap_s = fields.get("first_s"), fields.get("longest_gap_s") or 0.0
    if first_s is None:
        return f"It took {fields.get('took_s')} s."
    text = f"Its first part came after {first_s} s"
    objective_s = fields.get("objective_s")
    if objective_s is not None:
        text += f" (objective {objective_s} s)"
    return f"{text}, its longest pause was {gap_s} s." if gap_s else f"{text}."


def _placed(fields: Mapping[str, Any]) -> str:
    return (
        f"Placed on {fields['target']}{_software(fields)} ({fields['why']}) after "
        f"{fields['queued_s']} s "
        f"in the queue: load {fields['load']} there, {fields['cached_tokens']} tokens "
        f"of the prompt expected in its cache, {fields['finish_s']} s expected."
    )


def _software(fields: Mapping[str, Any]) -> str:
    version = fields.get("software_version")
    return f" of software version {version}" if version else ""


def _failed(fields: Mapping[str, Any]) -> str:
    return (
        f"The send to {fields['target']} at {fields['address']} ended {fields['end']}: "
        f"{fields['detail']}; {fields['events']} events had been relayed."
    )


def _ended(fields: Mapping[str, Any]) -> str:
    outcome = str(fields["outcome"])
    charged = fields.get("charged_tokens") or 0
    text = _OUTCOME_TEXTS.get(outcome, f"It ended: {outcome}.")
    if outcome == "answered":
        text += " " + _latency(fields)
    if fields.get("cut"):
        text += f" The answer was truncated after {fields['events']} events."
    if fields.get("resumes"):
        text = f"{_resumed(fields)} {text}"
    return f"{text} {fields['sends']} sends, {charged} tokens charged."


def _resumed(fields: Mapping[str, Any]) -> str:
    version = fields.get("software_version")
    began = f"began at software version {version}" if version else "is not known"
    return (
        f"Attempt {fields['request_id']} resumed the stream of attempt"
        f" {fields['resumes']}, which {began}."
    )


def _short_of_tokens(fields: Mapping[str, Any]) -> str:
    missing = "tokens" if fields["shortage"] == "tokens" else "a limit that covers them"
    budget_state = (
        "the budget is spent" if fields["exhausted"] else "others may hold some"
    )
    return (
        f"{fields['tokens']} tokens were needed and the router lacked {missing}: it "
        f"held {fields['hand_tokens']} free and {fields['reserved_tokens']} in use, "
        f"its peers reported {fields['spare_tokens']}, the store had "
        f"{fields['left_tokens']} left ({budget_state}; the store's last answer was "
        f"{fields['store_age_s']} s old)."
    )


def _took_over(fields: Mapping[str, Any]) -> str:
    return (
        f"The router took over from {fields['predecessor']}, whose row was "
        f"{fields['silent_s']} s old; {fields['answered']} of {fields['witnesses']} "
        f"witnesses answered."
    )


def _unanswered(fields: Mapping[str, Any]) -> str:
    ended_by = "The caller" if fields["by_caller"] else "The router"
    return (
        f"{ended_by} ended the connection ({fields['cause']}) after {fields['age_s']}"
        " s:"
        f" {fields['unanswered']} requests that were read on it had no whole answer,"
        f" {fields['answer_bytes']} bytes of one were sent. Configuration"
        f" {fields['version']} had been in force for {fields['version_age_s']} s."
    )


def _silent(fields: Mapping[str, Any]) -> str:
    beside = fields["beside"]
    other = (
        f"it was also sent to {beside}" if beside else "no other target could run it"
    )
    return f"{fields['target']} sent nothing for some time; {other}."


def _suspected(fields: Mapping[str, Any]) -> str:
    targets = ", ".join(fields["targets"])
    return (
        f"{targets} terminated with {fields['fingerprint']} "
        f"(known by {fields['source']})"
    )


_FORMATTERS: dict[int, Callable[[Mapping[str, Any]], str]] = {
    9002: _took_over,
    9004: _short_of_tokens,
    9005: lambda fields: f"Borrowed {fields['tokens']} tokens from a peer.",
    9006: lambda fields: f"Lent {fields['tokens']} tokens to {fields['peer']}.",
    9007: lambda fields: f"The store does not answer ({fields['reason']}).",
    9008: lambda fields: f"The store answers again after {fields['away_s']} s.",
    9101: lambda fields: (
        f"Refused ({fields['status']}), {fields['reason']}: {fields['detail']}. "
        f"Configuration {fields['version']} was in force. It did not run."
    ),
    9102: _placed,
    9103: _failed,
    9104: _ended,
    9132: _unanswered,
    9133: _silent,
    9134: lambda fields: f"An internal error ended it: {fields['detail']}",
    9115: lambda fields: (
        f"Target {fields['target']} terminated ({fields['source']}), with "
        f"{fields['lost']} requests of this router."
    ),
    9201: lambda fields: f"{_suspected(fields)}: one target for each attempt.",
    9202: lambda fields: f"{_suspected(fields)}: it is sent to no target any more.",
    9203: lambda fields: (
        f"{fields['fingerprint']} may be sent to targets again ({fields['source']})."
    ),
    9116: lambda fields: (
        f"{fields['target']} reported in an answer: "
        + ("leaving." if fields["leaving"] else f"no work for {fields['pause_s']} s.")
    ),
    9117: lambda fields: (
        f"Target {fields['target']} warms up for {fields['left_s']} s; this router "
        f"sends it at most {fields['sends']} requests in {fields['window_s']} s."
    ),
    9118: lambda fields: (
        f"Availability zone {fields['availability_zone']} was "
        + ("evacuated." if fields["evacuated"] else "put back into use.")
    ),
    9125: lambda fields: (
        f"Target {fields['target']} "
        + (
            "limits its requests no longer"
            if fields["limit_per_s"] is None
            else f"accepts {fields['limit_per_s']} requests a second from all routers"
        )
        + f" (source: {fields['source']})."
    ),
    9110: lambda fields: f"Configuration {fields['version']} came into force.",
    9112: lambda fields: (
        f"Target {fields['target']}{_software(fields)} was {fields['change']}."
    ),
    9127: lambda fields: (
        f"Targets of {fields['service']} run software versions "
        f"{', '.join(fields['software_versions'])}, or did lately."
    ),
    9120: lambda fields: "The router started.",
    9121: lambda fields: "The router was asked to stop.",
    9122: lambda fields: "The router ended.",
}

#: Events of a process that concern all of its requests.
_PROCESS_EVENTS = frozenset({9002, 9007, 9008, 9110, 9118, 9120, 9121, 9122})
