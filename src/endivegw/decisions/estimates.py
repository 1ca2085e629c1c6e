"""Estimates of processing times, learnt from this router's finished attempts."""

from __future__ import annotations

import math
from collections import OrderedDict

from attrs import define, field

from endivegw.decisions.policy import Policy
from endivegw.decisions.work import SERVICE_PREFIX, WorkItem
from endivegw.types import ClientAccountName

__all__ = ["Average", "Estimates", "LinearFit", "ModelSpeed"]

#: Factor on the weight of a sample for each newer one. About 200 samples count, which a
#: busy router collects in a few seconds.
_SAMPLE_DECAY = 0.995

#: Weight of each point of the prior, in samples; the prior has no effect after a few
#: dozen samples.
_PRIOR_SAMPLES = 4.0

#: Maximum number of client accounts with an output share of their own.
_MAX_ACCOUNTS = 2048


@define
class LinearFit:
    """Fit ``y = a + b x`` to recent samples by least squares.

    :param weight: total weight of the samples.
    :param x: weighted sum of ``x``; ``y``, ``xx`` and ``xy`` likewise.
    :param base: the intercept ``a``.
    :param slope: the slope ``b``.
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
        """Return a fit that starts as the line through two points.

        The two points are the prior, which samples replace.
        """
        fit = cls()
        fit._sum(x0, y0, _PRIOR_SAMPLES)
        fit._sum(x1, y1, _PRIOR_SAMPLES)
        fit._solve()
        return fit

    def add(self, x: float, y: float) -> None:
        """Add one sample."""
        self.weight *= _SAMPLE_DECAY
        self.x *= _SAMPLE_DECAY
        self.y *= _SAMPLE_DECAY
        self.xx *= _SAMPLE_DECAY
        self.xy *= _SAMPLE_DECAY
        self._sum(x, y, 1.0)
        self._solve()

    def predict(self, x: float) -> float:
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
        variance_x = self.xx / self.weight - mean_x * mean_x
        covariance = self.xy / self.weight - mean_x * mean_y
        # A higher load never makes a target faster. A negative slope is noise of
        # samples that lie close together, and would send requests to full targets.
        self.slope = max(0.0, covariance / variance_x) if variance_x > 1e-9 else 0.0
        self.base = max(0.0, mean_y - self.slope * mean_x)


@define
class Average:
    """Hold an exponential moving average and variance.

    :param step: weight of a new sample.
    """

    mean: float
    variance: float = 0.0
    step: float = 0.05

    def add(self, value: float) -> None:
        """Add one sample."""
        deviation = value - self.mean
        self.mean += self.step * deviation
        self.variance += self.step * (deviation * deviation - self.variance)

    def upper_bound(self, deviations: float) -> float:
        """Return the mean plus this many standard deviations."""
        return self.mean + deviations * math.sqrt(self.variance)


@define
class ModelSpeed:
    """Hold the measured times of one model over all its targets.

    :param first: seconds to the first token, over uncached prompt tokens.
    :param step: seconds between tokens, over the target's load per slot.
    :param service_time_s: how long one request holds a slot.
    :param output_share: generated tokens as a share of the request's output limit.
    """

    first: LinearFit
    step: LinearFit
    service_time_s: Average
    output_share: Average


@define
class Estimates:
    """Learn speeds per model and output lengths per client account.

    :param overall_service_time_s: average time for which a request holds a slot, over
        all models except plain services.
    """

    policy: Policy
    overall_service_time_s: Average = field(factory=lambda: Average(1.0, step=0.01))
    _models: dict[str, ModelSpeed] = field(factory=dict)
    _shares: OrderedDict[tuple[ClientAccountName, str], Average] = field(
        factory=OrderedDict
    )

    def speed(self, model: str) -> ModelSpeed:
        """Return the estimates of a model, initially the prior."""
        speed = self._models.get(model)
        if speed is None:
            speed = self._models[model] = self._prior(model)
        return speed

    def _prior(self, model: str) -> ModelSpeed:
        policy = self.policy
        first_s = policy.prior_first_s
        read_s = 1000.0 / policy.prior_prefill_tokens_per_s
        step_s = policy.prior_step_s
        is_service = model.startswith(SERVICE_PREFIX)
        return ModelSpeed(
            LinearFit.through(0.0, first_s, 1000.0, first_s + read_s),
            LinearFit.through(0.0, step_s / 2, 1.0, step_s),
            Average(policy.prior_service_s if is_service else 100 * step_s),
            Average(policy.prior_output_share),
        )

    def output_tokens(self, item: WorkItem, deviations: float = 0.0) -> float:
        """Return the expected number of output tokens.

        :param deviations: standard deviations to add to the mean; the result never
            exceeds the request's own output limit.
        """
        account_average = self._shares.get((item.client_account, item.model))
        average = (
            account_average if account_average else self.speed(item.model).output_share
        )
        return min(1.0, average.upper_bound(deviations)) * item.output_tokens

    def service_time_s(
        self, item: WorkItem, load: float, deviations: float = 0.0
    ) -> float:
        """Return how long a request holds a slot if none of its prompt is cached.

        :param load: load per slot of the target.
        :param deviations: standard deviations to add to the mean output length.
        """
        speed = self.speed(item.model)
        if item.model.startswith(SERVICE_PREFIX):
            return speed.service_time_s.upper_bound(deviations)
        decode_s = self.output_tokens(item, deviations) * speed.step.predict(load)
        return speed.first.predict(item.prompt_tokens) + decode_s

    def learn_first(self, model: str, uncached_tokens: int, first_s: float) -> None:
        """Add a sample of the time to the first token."""
        self.speed(model).first.add(uncached_tokens, first_s)

    def learn_step(self, model: str, load: float, step_s: float) -> None:
        """Add a sample of the time between tokens."""
        self.speed(model).step.add(load, step_s)

    def learn_end(
        self, item: WorkItem, service_time_s: float, output_tokens: int
    ) -> None:
        """Add the service time and output length of a complete answer."""
        speed = self.speed(item.model)
        speed.service_time_s.add(service_time_s)
        if not item.model.startswith(SERVICE_PREFIX):
            self.overall_service_time_s.add(service_time_s)
        if item.output_tokens <= 0:
            return
        share = output_tokens / item.output_tokens
        speed.output_share.add(share)
        key = (item.client_account, item.model)
        account_average = self._shares.get(key)
        if account_average is None:
            account_average = self._shares[key] = Average(
                speed.output_share.mean, speed.output_share.variance
            )
            if len(self._shares) > _MAX_ACCOUNTS:
                self._shares.popitem(last=False)
        account_average.add(share)
