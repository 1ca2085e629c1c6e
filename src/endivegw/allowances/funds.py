"""One router's tokens of one budget: the held tokens and the limit on their use.

Pure state. The router's row in the store carries :class:`Terms`, which guarantee that
the router's use never exceeds a limit that grows with the store's clock at a recorded
rate. A successor that reads the row can therefore compute the most that was used,
whenever the router died and whether or not it could reach the store at that time.
Without the growth, a router isolated from the store could use only what it had
recorded before; without the limit, all that it held would be lost with it.
"""

from __future__ import annotations

import math

from attrs import define, field, frozen

__all__ = ["Funds", "Growth", "Terms"]

#: Demand observed for less than this is treated as observed for this long, because a
#: single large request is a poor estimate of a rate.
_MIN_OBSERVED_S = 3.0


#: Number of steps in which future growth is evaluated, a tenth of a second apart.
_GROWTH_STEPS = 150


@frozen
class Growth:
    """Growth of a limit while its row is not renewed.

    The growth starts slowly. If all routers are killed, no witness is left, and each
    successor must count the growth of one to two seconds, about as long as a restart
    takes, as used; after 1.5 s the ramp has grown by three eighths of steady growth.
    During a longer outage of the store the growth catches up: a request refused at its
    start is retried and served, but tokens stranded by a kill are lost. A ramp of 4 s
    with a lead of 0.3 s strands 2.3 % of a budget beyond the requests in progress; with
    outages and a kill of all routers, 5.9 % of requests are refused although the budget
    covers them. The cost is that 28 % of requests in the first 2.5 s of an outage have
    to be retried. Ramps of 6 s or longer refuse too many requests there.

    :param ramp_s: time until the full rate is reached.
    :param max_s: the longest time through which a limit grows.
    """

    ramp_s: float
    max_s: float

    def growth_s(self, elapsed_s: float) -> float:
        """Return the seconds of full-rate growth reached after ``elapsed_s``."""
        bounded_s = min(max(0.0, elapsed_s), self.max_s)
        return bounded_s * min(1.0, bounded_s / self.ramp_s)


@frozen
class Terms:
    """What a row records of one budget.

    :param drawn_tokens: tokens that the router drew from the budget, less those that
        it returned. Negative if it returned more than it drew, having borrowed from
        peers.
    :param limit_tokens: the most that it may have used at ``as_of_ms``.
    :param growth_tokens_per_s: rate at which the limit grows from then on.
    :param as_of_ms: time of the terms on the store's clock.
    """

    drawn_tokens: int = 0
    limit_tokens: int = 0
    growth_tokens_per_s: int = 0
    as_of_ms: int = 0

    def limit_at_tokens(self, store_ms: float, growth: Growth) -> int:
        """Return the most that may have been used by a time on the store's clock."""
        growth_s = growth.growth_s((store_ms - self.as_of_ms) / 1000.0)
        limit_tokens = self.limit_tokens + int(self.growth_tokens_per_s * growth_s)
        return min(self.drawn_tokens, limit_tokens)


@define
class Funds:
    """One router's token counts for one budget.

    :ivar confirmed: the terms that the store is known to hold.
    :ivar pending: the terms of an unanswered write, which may have replaced the
        confirmed ones. The use stays within both, since a successor may read either.
    :ivar settled_tokens: tokens consumed by requests that have ended.
    :ivar reserved_tokens: tokens reserved for requests in progress.
    :ivar lent_tokens: tokens lent to peers; they count as used in the row.
    :ivar borrowed_tokens: tokens received from peers, which count them as used.
    """

    confirmed: Terms = field(factory=Terms)
    pending: Terms | None = None
    settled_tokens: int = 0
    reserved_tokens: int = 0
    lent_tokens: int = 0
    borrowed_tokens: int = 0
    _demanded_tokens: float = 0.0
    _decayed_at_s: float | None = None
    _first_demand_s: float | None = None

    @property
    def used_tokens(self) -> int:
        """Return the net use that the row's limit must cover."""
        request_tokens = self.settled_tokens + self.reserved_tokens
        return request_tokens + self.lent_tokens - self.borrowed_tokens

    @property
    def hand_tokens(self) -> int:
        """Return the tokens held but not in use, whether or not they may be used."""
        drawn_tokens = self.confirmed.drawn_tokens
        if self.pending is not None:
            drawn_tokens = min(drawn_tokens, self.pending.drawn_tokens)
        return drawn_tokens - self.used_tokens

    def available_tokens(self, store_ms: float, growth: Growth) -> int:
        """Return how many tokens the row permits now."""
        permitted_tokens = min(
            terms.limit_at_tokens(store_ms, growth) for terms in self._possible_terms()
        )
        return permitted_tokens - self.used_tokens

    def covered_in_s(
        self, tokens: int, store_ms: float, growth: Growth
    ) -> float | None:
        """Return in how many seconds the row will permit the tokens, None if never.

        :param tokens: at most :attr:`hand_tokens`.
        """
        for step in range(_GROWTH_STEPS + 1):
            wait_s = growth.max_s * step / _GROWTH_STEPS
            if self.available_tokens(store_ms + wait_s * 1000.0, growth) >= tokens:
                return wait_s
        return None

    def limit_tokens(self) -> int:
        """Return the part of the limit that does not depend on growth."""
        return min(terms.limit_tokens for terms in self._possible_terms())

    def expires_ms(self, validity_s: float) -> float:
        """Return the time on the store's clock at which the possible rows expire.

        Infinity if nothing was drawn: such a row holds no tokens for others to take
        over, and tokens lent by peers are used independently of it.
        """
        drawn_terms = [
            terms for terms in self._possible_terms() if terms.drawn_tokens > 0
        ]
        return min(
            (terms.as_of_ms + validity_s * 1000.0 for terms in drawn_terms),
            default=math.inf,
        )

    def _possible_terms(self) -> list[Terms]:
        """Return the terms that a successor may read."""
        if self.pending is None:
            return [self.confirmed]
        return [self.confirmed, self.pending]

    def record_demand(self, tokens: int, now_s: float, demand_s: float) -> None:
        """Add the most that a request may consume to the measured demand."""
        self._decay(now_s, demand_s)
        self._demanded_tokens += tokens
        if self._first_demand_s is None:
            self._first_demand_s = now_s

    def record_unused(
        self, tokens: int, counted_s: float, now_s: float, demand_s: float
    ) -> None:
        """Subtract what a request did not consume from the measured demand.

        Answers usually end well before their bound. Demand counted at the bound was two
        to three times the actual consumption; limits then ran as far ahead, and a kill
        of all routers lost the difference.

        :param counted_s: when the request was counted; the subtracted tokens have
            decayed since then.
        """
        self._decay(now_s, demand_s)
        age_s = max(0.0, now_s - counted_s)
        decayed_tokens = tokens * math.exp(-age_s / demand_s)
        self._demanded_tokens = max(0.0, self._demanded_tokens - decayed_tokens)

    def demand_tokens_per_s(self, now_s: float, demand_s: float) -> float:
        """Return the demand, weighted by its age.

        Until ``demand_s`` has been observed, the sum would be too low, so it is divided
        by the time that was observed.

        :param demand_s: the age at which demand counts a third.
        """
        if self._first_demand_s is None:
            return 0.0
        self._decay(now_s, demand_s)
        observed = max(_MIN_OBSERVED_S, now_s - self._first_demand_s) / demand_s
        return self._demanded_tokens / (demand_s * (1.0 - math.exp(-observed)))

    def _decay(self, now_s: float, demand_s: float) -> None:
        if self._decayed_at_s is not None:
            elapsed_s = max(0.0, now_s - self._decayed_at_s)
            self._demanded_tokens *= math.exp(-elapsed_s / demand_s)
        self._decayed_at_s = now_s
