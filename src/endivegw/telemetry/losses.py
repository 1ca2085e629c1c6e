"""Lost and late requests by cause, computed from the log lines of routers."""

from __future__ import annotations

from typing import Any, Iterable, Mapping

from attrs import define, field, frozen

from endivegw.telemetry.request_trace import LogLine

__all__ = ["LatencyThresholds", "Loss", "Losses", "WindowCounts", "count_losses"]

_TOKENS_REFUSED = 9004
_REQUEST_ENDED = 9104

_ANSWERED = "answered"
_CALLER_LEFT = "caller-left"

#: Outcomes whose cause is in the event TOKENS_REFUSED of the same request.
_TOKEN_REFUSALS = frozenset({"insufficient_quota", "budget_unavailable"})

#: Outcomes that inform the caller that the request did not run and may be retried.
_REFUSALS = _TOKEN_REFUSALS | {
    "overloaded",
    "no_target",
    "not_ready",
    "router_full",
}


@frozen
class LatencyThresholds:
    """Thresholds above which an answer counts as late; None disables a threshold.

    :param first_s: time from the arrival of the request to the first part.
    :param pause_s: time between two parts of a stream.
    """

    first_s: float | None = None
    pause_s: float | None = None


@frozen
class Loss:
    """Number of requests of a service that were lost or late for one cause.

    :param tokens: upper bound of the tokens that the requests would have used.
    """

    service: str
    cause: str
    requests: int
    tokens: int


@define
class WindowCounts:
    """Numbers of requests that ended in one time window, by result."""

    served: int = 0
    late: int = 0
    refused: int = 0
    failed: int = 0


@frozen
class Losses:
    """Losses by cause, and results of requests by time window.

    :param windows: by the start time of the window.
    """

    causes: tuple[Loss, ...]
    windows: Mapping[str, WindowCounts]


@define
class _LossSums:
    requests: int = 0
    tokens: int = 0


@define
class _LossCounter:
    """Accumulate log lines.

    The line of a token refusal precedes the line of the end of the same request.
    """

    thresholds: LatencyThresholds
    window_s: float
    refusals: dict[str, Mapping[str, Any]] = field(factory=dict)
    causes: dict[tuple[str, str], _LossSums] = field(factory=dict)
    windows: dict[str, WindowCounts] = field(factory=dict)

    def add(self, line: LogLine) -> None:
        """Add one line; lines of other events are ignored."""
        request_id = str(line.fields.get("request_id"))
        if line.event == _TOKENS_REFUSED:
            self.refusals[request_id] = line.fields
        elif line.event == _REQUEST_ENDED:
            self._add_ended(line, self.refusals.pop(request_id, {}))

    def _add_ended(self, line: LogLine, refusal: Mapping[str, Any]) -> None:
        outcome = str(line.fields.get("outcome"))
        if outcome == _CALLER_LEFT:
            return
        window = self.windows.setdefault(
            _window_start(line, self.window_s), WindowCounts()
        )
        cause = _cause(line.fields, refusal, self.thresholds)
        if not cause:
            window.served += 1
            return
        if outcome == _ANSWERED:
            window.late += 1
        elif outcome in _REFUSALS:
            window.refused += 1
        else:
            window.failed += 1
        key = str(line.fields.get("service") or ""), cause
        sums = self.causes.setdefault(key, _LossSums())
        sums.requests += 1
        tokens = refusal.get("tokens") or line.fields.get("reserved_tokens")
        sums.tokens += int(tokens or 0)


def count_losses(
    lines: Iterable[LogLine], window_s: float, thresholds: LatencyThresholds
) -> Losses:
    """Count lost and late requests; the cause of the most requests comes first.

    :param lines: lines of any number of routers, those of each router in order.
    """
    counter = _LossCounter(thresholds, window_s)
    for line in lines:
        counter.add(line)
    causes = [
        Loss(service, cause, sums.requests, sums.tokens)
        for (service, cause), sums in counter.causes.items()
    ]
    causes.sort(key=lambda loss: (-loss.requests, loss.service, loss.cause))
    return Losses(tuple(causes), dict(sorted(counter.windows.items())))


def _window_start(line: LogLine, window_s: float) -> str:
    """Return the start time of the window that a line falls into."""
    start_s = line.at_s // window_s * window_s
    minutes, seconds_s = divmod(start_s, 60.0)
    return f"{int(minutes) // 60:02}:{int(minutes) % 60:02}:{seconds_s:04.1f}"


def _cause(
    fields: Mapping[str, Any], refusal: Mapping[str, Any], thresholds: LatencyThresholds
) -> str:
    """Return why a request was lost or late, or "" if it was served in time."""
    outcome = str(fields.get("outcome"))
    if outcome == _ANSWERED:
        return _lateness_cause(fields, thresholds)
    if outcome in _TOKEN_REFUSALS and refusal:
        return _shortage_cause(refusal)
    return outcome


def _lateness_cause(fields: Mapping[str, Any], thresholds: LatencyThresholds) -> str:
    if (
        thresholds.first_s is not None
        and float(fields.get("first_s") or 0.0) > thresholds.first_s
    ):
        return "late: first part"
    pause_s = float(fields.get("longest_gap_s") or 0.0)
    if thresholds.pause_s is not None and pause_s > thresholds.pause_s:
        return "late: pause"
    return ""


def _shortage_cause(refusal: Mapping[str, Any]) -> str:
    """Return where the missing tokens were, according to the router's figures."""
    if refusal.get("exhausted"):
        return "tokens: the budget is spent"
    if refusal.get("shortage") != "tokens":
        return "tokens: held, the limit does not cover them yet"
    missing_tokens = int(refusal["tokens"]) - int(refusal["hand_tokens"])
    request_note = "in vain" if float(refusal["waited_s"]) > 0 else "nobody asked"
    if missing_tokens <= int(refusal["left_tokens"]):
        return f"tokens: in the store, {request_note}"
    if missing_tokens <= int(refusal["spare_tokens"]):
        return f"tokens: at peers, {request_note}"
    if int(refusal["left_tokens"]) or int(refusal["spare_tokens"]):
        return f"tokens: too few known elsewhere, {request_note}"
    return f"tokens: none known elsewhere, {request_note}"
