"""What callers of routers lost, by cause, from the routers' log lines."""

from __future__ import annotations

from typing import Any, Iterable, Mapping

from attrs import define, field, frozen

from endivegw.telemetry.story import LogLine

__all__ = ["Aims", "Loss", "Losses", "WindowEnds", "losses_of"]

_TOKENS_REFUSED = 9004
_REQUEST_ENDED = 9104

_ANSWERED = "answered"
_CALLER_LEFT = "caller-left"

#: Outcomes whose cause a line on the account's tokens tells.
_FOR_TOKENS = frozenset({"insufficient_quota", "budget_unavailable"})

#: Outcomes by which the caller knows that nothing ran and may come back.
_REFUSED = _FOR_TOKENS | {"overloaded", "no_target", "not_ready"}


@frozen
class Aims:
    """Say from when on an answer is late; None where that is not asked.

    :param first_s: until its first part, from the request's arrival.
    :param pause_s: between two parts of a stream.
    """

    first_s: float | None = None
    pause_s: float | None = None


@frozen
class Loss:
    """Hold the requests that one cause cost.

    :param tokens: the most that they could have used.
    """

    service: str
    cause: str
    requests: int
    tokens: int


@define
class WindowEnds:
    """Count how the requests that ended in one span of time fared."""

    served: int = 0
    late: int = 0
    refused: int = 0
    failed: int = 0


@frozen
class Losses:
    """Hold what was lost by cause, and how requests fared over time.

    :param windows: by the time at which each begins.
    """

    causes: tuple[Loss, ...]
    windows: Mapping[str, WindowEnds]


@define
class _Ended:
    requests: int = 0
    tokens: int = 0


@define
class _Count:
    """Add up lines; a line on tokens comes before the end that it explains."""

    aims: Aims
    window_s: float
    short: dict[str, Mapping[str, Any]] = field(factory=dict)
    causes: dict[tuple[str, str], _Ended] = field(factory=dict)
    windows: dict[str, WindowEnds] = field(factory=dict)

    def take(self, line: LogLine) -> None:
        """Take one line."""
        request_id = str(line.fields.get("request_id"))
        if line.event == _TOKENS_REFUSED:
            self.short[request_id] = line.fields
        elif line.event == _REQUEST_ENDED:
            self._end(line, self.short.pop(request_id, {}))

    def _end(self, line: LogLine, short: Mapping[str, Any]) -> None:
        outcome = str(line.fields.get("outcome"))
        if outcome == _CALLER_LEFT:
            return
        window = self.windows.setdefault(_begin(line, self.window_s), WindowEnds())
        cause = _cause(line.fields, short, self.aims)
        if not cause:
            window.served += 1
            return
        if outcome == _ANSWERED:
            window.late += 1
        elif outcome in _REFUSED:
            window.refused += 1
        else:
            window.failed += 1
        key = str(line.fields.get("service") or ""), cause
        ended = self.causes.setdefault(key, _Ended())
        ended.requests += 1
        tokens = short.get("tokens") or line.fields.get("reserved_tokens")
        ended.tokens += int(tokens or 0)


def losses_of(lines: Iterable[LogLine], window_s: float, aims: Aims) -> Losses:
    """Return what was lost, the dearest cause first.

    :param lines: of any number of routers, each router's in order.
    """
    count = _Count(aims, window_s)
    for line in lines:
        count.take(line)
    causes = [
        Loss(service, cause, ended.requests, ended.tokens)
        for (service, cause), ended in count.causes.items()
    ]
    causes.sort(key=lambda loss: (-loss.requests, loss.service, loss.cause))
    return Losses(tuple(causes), dict(sorted(count.windows.items())))


def _begin(line: LogLine, window_s: float) -> str:
    """Return the time at which a line's window begins."""
    begin_s = line.at_s // window_s * window_s
    minutes, seconds_s = divmod(begin_s, 60.0)
    return f"{int(minutes) // 60:02}:{int(minutes) % 60:02}:{seconds_s:04.1f}"


def _cause(found: Mapping[str, Any], short: Mapping[str, Any], aims: Aims) -> str:
    """Return why a request is lost or late, "" where it is neither."""
    outcome = str(found.get("outcome"))
    if outcome == _ANSWERED:
        return _lateness(found, aims)
    if outcome in _FOR_TOKENS and short:
        return _shortage(short)
    return outcome


def _lateness(found: Mapping[str, Any], aims: Aims) -> str:
    if aims.first_s is not None and float(found.get("first_s") or 0.0) > aims.first_s:
        return "late: first part"
    pause_s = float(found.get("longest_gap_s") or 0.0)
    if aims.pause_s is not None and pause_s > aims.pause_s:
        return "late: pause"
    return ""


def _shortage(short: Mapping[str, Any]) -> str:
    """Return where the tokens were that a router did not get, by its own account."""
    if short.get("exhausted"):
        return "tokens: the budget is spent"
    if short.get("shortage") != "tokens":
        return "tokens: held, the limit does not cover them yet"
    lacking = int(short["tokens"]) - int(short["hand_tokens"])
    asked = "in vain" if float(short["waited_s"]) > 0 else "nobody asked"
    if lacking <= int(short["left_tokens"]):
        return f"tokens: in the store, {asked}"
    if lacking <= int(short["spare_tokens"]):
        return f"tokens: at peers, {asked}"
    if int(short["left_tokens"]) or int(short["spare_tokens"]):
        return f"tokens: too few known elsewhere, {asked}"
    return f"tokens: none known elsewhere, {asked}"
