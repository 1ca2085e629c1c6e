"""Decide whether a call to a service that fails may be tried.

A service that is away costs each caller its whole timeout, and when it comes
back it is met by the queued calls of 1,020 daemons at once. After a few
failures in a row calls are refused at once, and one call at a time probes.
"""

from __future__ import annotations

import random

from attrs import define, field, frozen

__all__ = [
    "Admitted",
    "Circuit",
    "CircuitSettings",
    "Closed",
    "Held",
    "Open",
    "Probing",
]


@frozen
class CircuitSettings:
    """Hold when a circuit opens and how often it probes.

    :param failures_to_open: consecutive failures. One lost packet must not
        cut a daemon off; at two seconds a call, five hold callers up for ten
        seconds at most.
    :param first_probe_s: wait before the first probe. Short, because most
        failures are a restart of one machine of the service.
    :param longest_probe_s: the wait doubles up to this. At 1,020 daemons one
        probe each 4 s makes 255 calls a second, an eighth of what the table
        bears; longer would delay configuration beyond its 7 s after an outage.
    :param probe_timeout_s: a probe that has not ended by then counts as lost,
        so that a forgotten one leaves no circuit open for good.
    """

    failures_to_open: int = 5
    first_probe_s: float = 0.5
    longest_probe_s: float = 4.0
    probe_timeout_s: float = 10.0


@frozen
class Closed:
    """Calls go through; so many in a row have failed."""

    failures: int = 0


@frozen
class Open:
    """Calls are refused until a probe is due.

    :param probes: how many probes have failed since it opened.
    """

    probe_at_s: float
    probes: int


@frozen
class Probing:
    """One call is on its way to find out; all others are refused."""

    since_s: float
    probes: int


State = Closed | Open | Probing


@frozen
class Admitted:
    """Let a call through.

    :param probe: whether the outcome of this call decides for all.
    """

    probe: bool = False


@frozen
class Held:
    """Refuse a call at once; one may go through after ``retry_after_s``."""

    retry_after_s: float


@define
class Circuit:
    """Keep the state of one service as one process sees it."""

    settings: CircuitSettings = CircuitSettings()
    state: State = Closed()
    _random: random.Random = field(factory=lambda: random.Random(), repr=False)

    def admit(self, now_s: float) -> Admitted | Held:
        """Decide on one call."""
        match self.state:
            case Closed():
                return Admitted()
            case Open(probe_at_s, probes):
                if now_s < probe_at_s:
                    return Held(probe_at_s - now_s)
                self.state = Probing(now_s, probes)
                return Admitted(probe=True)
            case Probing(since_s, probes):
                lost_at_s = since_s + self.settings.probe_timeout_s
                if now_s < lost_at_s:
                    return Held(min(lost_at_s - now_s, self.settings.first_probe_s))
                self.state = Probing(now_s, probes + 1)
                return Admitted(probe=True)

    def succeeded(self, now_s: float) -> bool:
        """Note a call that the service answered; return whether this closes it."""
        was_closed = isinstance(self.state, Closed)
        self.state = Closed()
        return not was_closed

    def failed(self, now_s: float) -> bool:
        """Note a call without an answer; return whether this opens it."""
        match self.state:
            case Closed(failures) if failures + 1 < self.settings.failures_to_open:
                self.state = Closed(failures + 1)
                return False
            case Closed():
                self.state = Open(now_s + self._wait_s(0), 0)
                return True
            case Open():
                # A call that began before the circuit opened; it says no more
                # than those that opened it.
                return False
            case Probing(_, probes):
                self.state = Open(now_s + self._wait_s(probes + 1), probes + 1)
                return False

    def withdrawn(self, now_s: float) -> None:
        """Note that an admitted call was not made after all."""
        match self.state:
            case Probing(_, probes):
                self.state = Open(now_s, probes)

    def _wait_s(self, probes: int) -> float:
        longest_s = self.settings.longest_probe_s
        wait_s = min(longest_s, self.settings.first_probe_s * 2.0 ** min(probes, 16))
        # All daemons see an outage begin at the same moment; without jitter
        # their probes would arrive together ever after.
        return wait_s * self._random.uniform(0.5, 1.0)
