"""Circuit breaker for calls to an external service.

An unavailable service costs each caller the full timeout, and on recovery it
would receive the queued calls of 1,020 daemons at once. After a few consecutive
failures the breaker therefore rejects calls immediately and lets one call at a
time through as a probe.
"""

from __future__ import annotations

import random

from attrs import define, field, frozen

__all__ = [
    "Admitted",
    "CircuitBreaker",
    "CircuitBreakerSettings",
    "Closed",
    "Rejected",
    "Open",
    "Probing",
]


@frozen
class CircuitBreakerSettings:
    """Configure when a circuit opens and how often it probes.

    :param failures_to_open: consecutive failures that open the circuit. A single
        lost packet must not disconnect a daemon from the service; with calls of
        two seconds, five failures delay callers by at most ten seconds.
    :param first_probe_s: delay before the first probe. It is short because most
        failures are restarts of a single machine of the service.
    :param max_probe_wait_s: upper limit of the delay, which doubles with each
        failed probe. One probe per 4 s from each of 1,020 daemons makes 255 calls
        per second, an eighth of the table's capacity; a longer delay would make
        configuration updates miss their limit of 7 s after an outage.
    :param probe_timeout_s: time after which an unfinished probe counts as lost,
        so that an abandoned probe cannot keep the circuit open indefinitely.
    """

    failures_to_open: int = 5
    first_probe_s: float = 0.5
    max_probe_wait_s: float = 4.0
    probe_timeout_s: float = 10.0


@frozen
class Closed:
    """Calls are admitted.

    :param failures: consecutive failures so far.
    """

    failures: int = 0


@frozen
class Open:
    """Calls are rejected until a probe is due.

    :param probes: number of probes that have failed since the circuit opened.
    """

    probe_at_s: float
    probes: int


@frozen
class Probing:
    """One call is in flight as a probe; all others are rejected.

    :param probes: number of probes that have failed since the circuit opened.
    """

    since_s: float
    probes: int


State = Closed | Open | Probing


@frozen
class Admitted:
    """Let a call through.

    :param probe: whether the outcome of this call closes or reopens the circuit.
    """

    probe: bool = False


@frozen
class Rejected:
    """Reject a call immediately; a probe is due after ``retry_after_s``."""

    retry_after_s: float


@define
class CircuitBreaker:
    """Track the availability of one service as observed by one process."""

    settings: CircuitBreakerSettings = CircuitBreakerSettings()
    state: State = Closed()
    _random: random.Random = field(factory=lambda: random.Random(), repr=False)

    def admit(self, now_s: float) -> Admitted | Rejected:
        """Admit or reject one call."""
        match self.state:
            case Closed():
                return Admitted()
            case Open(probe_at_s, probes):
                if now_s < probe_at_s:
                    return Rejected(probe_at_s - now_s)
                self.state = Probing(now_s, probes)
                return Admitted(probe=True)
            case Probing(since_s, probes):
                lost_at_s = since_s + self.settings.probe_timeout_s
                if now_s < lost_at_s:
                    return Rejected(min(lost_at_s - now_s, self.settings.first_probe_s))
                self.state = Probing(now_s, probes + 1)
                return Admitted(probe=True)

    def record_success(self, now_s: float) -> bool:
        """Record an answered call; return whether it closes the circuit."""
        was_closed = isinstance(self.state, Closed)
        self.state = Closed()
        return not was_closed

    def record_failure(self, now_s: float) -> bool:
        """Record an unanswered call; return whether it opens the circuit."""
        match self.state:
            case Closed(failures) if failures + 1 < self.settings.failures_to_open:
                self.state = Closed(failures + 1)
                return False
            case Closed():
                self.state = Open(now_s + self._wait_s(0), 0)
                return True
            case Open():
                # The call started before the circuit opened, so its failure adds
                # no information.
                return False
            case Probing(_, probes):
                self.state = Open(now_s + self._wait_s(probes + 1), probes + 1)
                return False

    def record_withdrawal(self, now_s: float) -> None:
        """Record that an admitted call was cancelled or never made."""
        match self.state:
            case Probing(_, probes):
                self.state = Open(now_s, probes)

    def _wait_s(self, probes: int) -> float:
        max_wait_s = self.settings.max_probe_wait_s
        wait_s = min(max_wait_s, self.settings.first_probe_s * 2.0 ** min(probes, 16))
        # All daemons detect an outage at the same time. Without jitter their
        # probes would stay synchronized.
        return wait_s * self._random.uniform(0.5, 1.0)
