"""How long work takes, learnt from what this router has seen end."""

from __future__ import annotations

import math
from collections import OrderedDict

from attrs import define, field

from endivegw.decisions.policy import Policy
from endivegw.decisions.work import SERVICE_PREFIX, WorkItem
from endivegw.types import ClientAccountName

__all__ = ["Average", "Estimates", "LinearFit", "ModelSpeed"]

#: Weight that a sample keeps with each newer one: some 200 samples count,
#: which is a few seconds of a busy router.
_DECAY = 0.995

#: Weight of the prior in samples: it is gone after the first dozens.
_PRIOR_SAMPLES = 4.0

#: Client accounts whose own output share is kept.
_ACCOUNTS = 2048


@define
class LinearFit:
    """Fit ``y = a + b x`` to recent samples by least squares.

    :param prior: two points that stand for the line until samples come.
    """

    weight: float = 0.0
    x: float = 0.0
    y: float = 0.0
    xx: float = 0.0
    xy: float = 0.0
    base: float = 0.0
    slope: float = 0.0

    @classmethod
    def through(cls, x0: float, y0: float, x1: float, y1: float) -> LinearFit:
        """Return a fit that starts as the line through two points."""
        fit = cls()
        fit._sum(x0, y0, _PRIOR_SAMPLES)
        fit._sum(x1, y1, _PRIOR_SAMPLES)
        fit._solve()
        return fit

    def add(self, x: float, y: float) -> None:
        """Learn one sample."""
        self.weight *= _DECAY
        self.x *= _DECAY
        self.y *= _DECAY
        self.xx *= _DECAY
        self.xy *= _DECAY
        self._sum(x, y, 1.0)
        self._solve()

    def at(self, x: float) -> float:
        """Return the expected ``y``."""
        return self.base + self.slope * x

    def _sum(self, x: float, y: float, weight: float) -> None:
        self.weight += weight
        self.x += weight * x
        self.y += weight * y
        self.xx += weight * x * x
        self.xy += weight * x * y

    def _solve(self) -> None:
        mean_x = self.x / self.weight
        mean_y = self.y / self.weight
        spread = self.xx / self.weight - mean_x * mean_x
        shared = self.xy / self.weight - mean_x * mean_y
        # More work never makes a target faster: a falling line is noise of
        # samples that lie close together, and would send work to full targets.
        self.slope = max(0.0, shared / spread) if spread > 1e-9 else 0.0
        self.base = max(0.0, mean_y - self.slope * mean_x)


@define
class Average:
    """Keep a moving mean and variance."""

    mean: float
    variance: float = 0.0
    step: float = 0.05

    def add(self, value: float) -> None:
        """Learn one sample."""
        off = value - self.mean
        self.mean += self.step * off
        self.variance += self.step * (off * off - self.variance)

    def high(self, deviations: float) -> float:
        """Return a value that lies so many standard deviations up."""
        return self.mean + deviations * math.sqrt(self.variance)


@define
class ModelSpeed:
    """Hold what was measured of one model, over all its targets.

    :param first: seconds to the first token, over uncached prompt tokens.
    :param step: seconds between tokens, over the target's work per slot.
    :param held_s: how long one piece of work holds a slot.
    :param output_share: generated tokens as a share of the bound.
    """

    first: LinearFit
    step: LinearFit
    held_s: Average
    output_share: Average


@define
class Estimates:
    """Learn speeds per model and output lengths per client account."""

    policy: Policy
    held_s_of_all: Average = field(factory=lambda: Average(1.0, step=0.01))
    _models: dict[str, ModelSpeed] = field(factory=dict)
    _shares: OrderedDict[tuple[ClientAccountName, str], Average] = field(
        factory=OrderedDict
    )

    def speed(self, model: str) -> ModelSpeed:
        """Return what is known of a model, the prior where nothing is."""
        speed = self._models.get(model)
        if speed is None:
            speed = self._models[model] = self._prior(model)
        return speed

    def _prior(self, model: str) -> ModelSpeed:
        policy = self.policy
        first_s = policy.prior_first_s
        read_s = 1000.0 / policy.prior_prefill_tokens_per_s
        step_s = policy.prior_step_s
        plain = model.startswith(SERVICE_PREFIX)
        return ModelSpeed(
            LinearFit.through(0.0, first_s, 1000.0, first_s + read_s),
            LinearFit.through(0.0, step_s / 2, 1.0, step_s),
            Average(policy.prior_service_s if plain else 100 * step_s),
            Average(policy.prior_output_share),
        )

    def output_tokens(self, item: WorkItem, deviations: float = 0.0) -> float:
        """Return the expected length of an answer.

        :param deviations: how many standard deviations above the mean; never
            more than the request's own bound.
        """
        own = self._shares.get((item.client_account, item.model))
        average = own if own else self.speed(item.model).output_share
        return min(1.0, average.high(deviations)) * item.output_tokens

    def held_s(self, item: WorkItem, load: float, deviations: float = 0.0) -> float:
        """Return how long work holds a slot, without any of its prompt cached."""
        speed = self.speed(item.model)
        if item.model.startswith(SERVICE_PREFIX):
            return speed.held_s.high(deviations)
        decode_s = self.output_tokens(item, deviations) * speed.step.at(load)
        return speed.first.at(item.prompt_tokens) + decode_s

    def learn_first(self, model: str, uncached_tokens: int, first_s: float) -> None:
        """Learn the time to a first token."""
        self.speed(model).first.add(uncached_tokens, first_s)

    def learn_step(self, model: str, load: float, step_s: float) -> None:
        """Learn the time between tokens."""
        self.speed(model).step.add(load, step_s)

    def learn_end(self, item: WorkItem, held_s: float, output_tokens: int) -> None:
        """Learn from a whole answer."""
        speed = self.speed(item.model)
        speed.held_s.add(held_s)
        if not item.model.startswith(SERVICE_PREFIX):
            self.held_s_of_all.add(held_s)
        if item.output_tokens <= 0:
            return
        share = output_tokens / item.output_tokens
        speed.output_share.add(share)
        key = (item.client_account, item.model)
        own = self._shares.get(key)
        if own is None:
            own = self._shares[key] = Average(
                speed.output_share.mean, speed.output_share.variance
            )
            if len(self._shares) > _ACCOUNTS:
                self._shares.popitem(last=False)
        own.add(share)
