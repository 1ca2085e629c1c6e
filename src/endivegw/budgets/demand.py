"""Estimate how fast one router consumes one budget."""

from __future__ import annotations

import math

from attrs import define

__all__ = ["DemandEstimate"]

#: Time constant of the average. A small account sends about one request per 30 s
#: through one router; a shorter average treats each as a burst and each pause as the
#: end of demand, which alternates draws and returns. A longer one strands more tokens
#: after a burst.
_TIME_CONSTANT_S = 240.0

#: Length of a memory period. A large reservation is remembered for one to two periods.
_BOUND_MEMORY_S = 120.0

#: Minimum observation period of a budget, so that a single first request is not taken
#: for a steady stream.
_MIN_OBSERVED_S = 60.0


@define
class DemandEstimate:
    """Average consumption over some minutes and remember large reservations.

    :ivar largest_bound_tokens: largest reservation of the current memory period.
    """

    first_at_s: float | None = None
    updated_at_s: float = 0.0
    decayed_tokens: float = 0.0
    largest_bound_tokens: int = 0
    _previous_bound_tokens: int = 0
    _bound_since_s: float = 0.0

    def record_consumed(self, tokens: int, now_s: float) -> None:
        """Record tokens that an attempt consumed."""
        self._advance(now_s)
        self.decayed_tokens += tokens

    def record_reserved(self, bound_tokens: int, now_s: float) -> None:
        """Record the size of a requested reservation."""
        self._advance(now_s)
        self.largest_bound_tokens = max(self.largest_bound_tokens, bound_tokens)

    def bound_tokens(self, now_s: float) -> int:
        """Return the largest reservation of the last two to four minutes."""
        self._advance(now_s)
        return max(self.largest_bound_tokens, self._previous_bound_tokens)

    def rate_tokens_per_s(self, now_s: float) -> float:
        """Return the recent consumption rate."""
        if self.first_at_s is None:
            return 0.0
        self._advance(now_s)
        observed_s = max(now_s - self.first_at_s, _MIN_OBSERVED_S)
        # The weights of a decaying sum over the observed time add up to this value.
        weight_s = _TIME_CONSTANT_S * -math.expm1(-observed_s / _TIME_CONSTANT_S)
        return self.decayed_tokens / weight_s

    def _advance(self, now_s: float) -> None:
        if self.first_at_s is None:
            self.first_at_s = now_s
            self.updated_at_s = now_s
            self._bound_since_s = now_s
        passed_s = max(now_s - self.updated_at_s, 0.0)
        self.decayed_tokens *= math.exp(-passed_s / _TIME_CONSTANT_S)
        if self.decayed_tokens < 1.0:
            self.decayed_tokens = 0.0
        self.updated_at_s = max(now_s, self.updated_at_s)
        if now_s - self._bound_since_s > 2 * _BOUND_MEMORY_S:
            self._previous_bound_tokens = 0
            self.largest_bound_tokens = 0
            self._bound_since_s = now_s
        elif now_s - self._bound_since_s > _BOUND_MEMORY_S:
            self._previous_bound_tokens = self.largest_bound_tokens
            self.largest_bound_tokens = 0
            self._bound_since_s = now_s
