"""Tell one request's story from the log lines of any number of processes."""

from __future__ import annotations

import json
from collections import Counter
from typing import Any, Callable, Iterable, Iterator, Mapping

from attrs import field, frozen

__all__ = [
    "LogLine",
    "Story",
    "StoryLine",
    "Totals",
    "read_lines",
    "story_of",
    "totals",
]

#: Lines that bear no request's id explain it if they are this close before or within
#: it: a router asks its peers and the store again several times in that.
_AROUND_S = 2.0

#: What a refusal's reason means; others are told as they stand.
_OUTCOMES = {
    "answered": "The caller got the target's whole answer.",
    "caller-left": "The caller left before its answer was complete.",
    "deadline": "The request's time ended first.",
    "insufficient_quota": (
        "Refused (402): the account's prepaid budget did not cover it. It did not run."
    ),
    "budget_unavailable": (
        "Refused (503): the tokens could not be reached in time. It did not run."
    ),
    "answer_lost": "The target's answer was lost; the request may have run (502).",
    "quarantined": (
        "Refused (503): targets ended while they ran it before. It did not run."
    ),
    "overloaded": "Refused (503): no target could run it in time. It did not run.",
    "cut": "A better answer came too late: the one to the caller had begun.",
}


@frozen
class LogLine:
    """Hold one line.

    :param at: its time in ISO format, which sorts by time.
    :param vm: the process's machine.
    """

    at: str
    event: int
    vm: str
    fields: Mapping[str, Any] = field(factory=dict)

    @property
    def at_s(self) -> float:
        """Return the second of the day, for spans within one request."""
        hours, minutes, seconds = self.at[11:23].split(":")
        return int(hours) * 3600 + int(minutes) * 60 + float(seconds)


@frozen
class StoryLine:
    """Hold one step: what happened, and the figures that decided it."""

    at: str
    vm: str
    event: int
    text: str


@frozen
class Story:
    """Hold a request's steps in order, and its cause of failure in one sentence.

    :param cause: empty where no line says how the request ended.
    """

    request_id: str
    steps: tuple[StoryLine, ...] = ()
    cause: str = ""


@frozen
class Totals:
    """Hold counts by outcome, and by outcome and window."""

    outcomes: Mapping[str, int]
    windows: Mapping[str, Mapping[str, int]]


def read_lines(texts: Iterable[str]) -> Iterator[LogLine]:
    """Return the lines that are events; whatever stands before them is skipped."""
    for text in texts:
        start = text.find("{")
        if start < 0:
            continue
        try:
            found = json.loads(text[start:])
            yield LogLine(
                str(found["time"]), int(found["event"]), found.get("vm", ""), found
            )
        except (ValueError, TypeError, KeyError):
            continue


def story_of(request_id: str, lines: Iterable[LogLine]) -> Story:
    """Return what happened to a request, with the beliefs that decided it."""
    ordered = sorted(lines, key=lambda line: line.at)
    own = [line for line in ordered if line.fields.get("request_id") == request_id]
    if not own:
        return Story(request_id)
    steps = own + list(_around(own, ordered))
    steps.sort(key=lambda line: line.at)
    told = (StoryLine(line.at, line.vm, line.event, tell(line)) for line in steps)
    return Story(request_id, tuple(told), _cause(own, steps))


def totals(lines: Iterable[LogLine], window_s: float) -> Totals:
    """Count how requests ended, whole and by windows."""
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
    return Totals(outcomes, windows)


def tell(line: LogLine) -> str:
    """Return one line as a sentence; the event's name where none is written."""
    teller = _TELLERS.get(line.event)
    if teller is None:
        return str(line.fields.get("message", line.event))
    return teller(line.fields)


def _around(own: list[LogLine], ordered: list[LogLine]) -> Iterator[LogLine]:
    """Return lines without an id that explain the request: its account, its target."""
    begin_s, end_s = own[0].at_s - _AROUND_S, own[-1].at_s
    took_s = max(float(line.fields.get("took_s") or 0.0) for line in own)
    begin_s -= took_s
    vms = {line.vm for line in own}
    names = {line.fields.get("fingerprint") for line in own} - {None}
    accounts = {line.fields.get("client_account") for line in own} - {None}
    targets = {line.fields.get("target") for line in own} - {None, ""}
    for line in ordered:
        if "request_id" in line.fields or not begin_s <= line.at_s <= end_s:
            continue
        if line.vm not in vms:
            continue
        of_account = line.fields.get("client_account") in accounts
        of_target = line.fields.get("target") in targets
        of_content = line.fields.get("fingerprint") in names
        if of_account or of_target or of_content or line.event in _OF_PROCESS:
            yield line


def _cause(own: list[LogLine], steps: list[LogLine]) -> str:
    end = next((line for line in own if line.event in (9101, 9104)), None)
    if end is None:
        return "No line says how it ended: its router ended before it did."
    outcome = str(end.fields.get("outcome") or end.fields.get("reason"))
    cause = _OUTCOMES.get(outcome, outcome)
    refused = [line for line in steps if line.event == 9004]
    if outcome in ("insufficient_quota", "budget_unavailable") and refused:
        return f"{cause} {tell(refused[-1])}"
    failed = [line for line in own if line.event == 9103]
    if failed and outcome != "answered":
        return f"{cause} {tell(failed[-1])}"
    if outcome == "answered":
        return f"{cause} {_tempo(end.fields)}"
    return cause


def _tempo(found: Mapping[str, Any]) -> str:
    first_s, gap_s = found.get("first_s"), found.get("longest_gap_s") or 0.0
    if first_s is None:
        return f"It took {found.get('took_s')} s."
    text = f"Its first part came after {first_s} s"
    return f"{text}, its longest pause was {gap_s} s." if gap_s else f"{text}."


def _placed(found: Mapping[str, Any]) -> str:
    return (
        f"Placed on {found['target']} ({found['why']}) after {found['queued_s']} s in "
        f"the queue: load {found['load']} there, {found['cached_tokens']} tokens of "
        f"the prompt expected in its cache, {found['finish_s']} s expected."
    )


def _failed(found: Mapping[str, Any]) -> str:
    return (
        f"The send to {found['target']} at {found['address']} ended {found['end']}: "
        f"{found['detail']}; {found['events']} events had been passed on."
    )


def _ended(found: Mapping[str, Any]) -> str:
    outcome = str(found["outcome"])
    charged = found.get("charged_tokens") or 0
    text = _OUTCOMES.get(outcome, f"It ended: {outcome}.")
    if outcome == "answered":
        text += " " + _tempo(found)
    if found.get("cut"):
        text += f" The answer was cut after {found['events']} events."
    return f"{text} {found['sends']} sends, {charged} tokens charged."


def _short_of_tokens(found: Mapping[str, Any]) -> str:
    lacked = "tokens" if found["shortage"] == "tokens" else "a limit that covers them"
    spent = "the budget is spent" if found["exhausted"] else "others may have some"
    return (
        f"{found['tokens']} tokens were needed and the router lacked {lacked}: it held "
        f"{found['hand_tokens']} free and {found['reserved_tokens']} in use, its peers "
        f"said {found['spare_tokens']}, the store had {found['left_tokens']} left "
        f"({spent}; the store's last answer was {found['store_age_s']} s old)."
    )


def _succeeded(found: Mapping[str, Any]) -> str:
    return (
        f"The router took over from {found['predecessor']}, whose row was "
        f"{found['silent_s']} s old; {found['answered']} of {found['witnesses']} "
        f"witnesses answered."
    )


def _suspected(found: Mapping[str, Any]) -> str:
    targets = ", ".join(found["targets"])
    return f"{targets} ended with {found['fingerprint']} (known by {found['source']})"


_TELLERS: dict[int, Callable[[Mapping[str, Any]], str]] = {
    9002: _succeeded,
    9004: _short_of_tokens,
    9005: lambda found: f"Borrowed {found['tokens']} tokens from a peer.",
    9006: lambda found: f"Lent {found['tokens']} tokens to {found['peer']}.",
    9007: lambda found: f"The store does not answer ({found['reason']}).",
    9008: lambda found: f"The store answers again after {found['away_s']} s.",
    9101: lambda found: (
        f"Refused ({found['status']}), {found['reason']}: {found['detail']}. "
        f"Configuration {found['version']} was in force. It did not run."
    ),
    9102: _placed,
    9103: _failed,
    9104: _ended,
    9115: lambda found: (
        f"Target {found['target']} ended ({found['source']}), with {found['lost']} "
        f"requests of this router."
    ),
    9201: lambda found: f"{_suspected(found)}: one target for each attempt.",
    9202: lambda found: f"{_suspected(found)}: it goes to no target any more.",
    9203: lambda found: (
        f"{found['fingerprint']} may go to targets again ({found['source']})."
    ),
    9116: lambda found: (
        f"{found['target']} said in an answer: "
        + ("it leaves." if found["leaving"] else f"nothing for {found['pause_s']} s.")
    ),
    9110: lambda found: f"Configuration {found['version']} came into force.",
    9112: lambda found: f"Target {found['target']} was {found['change']}.",
    9120: lambda found: "The router started.",
    9121: lambda found: "The router was told to stop.",
    9122: lambda found: "The router ended.",
}

#: Lines of a process that concern all its requests.
_OF_PROCESS = frozenset({9002, 9007, 9008, 9110, 9120, 9121, 9122})
