"""Plan where to load models and adapters, by demand and weight store bandwidth."""

from __future__ import annotations

import math
from typing import Iterable, Mapping

from attrs import define, field, frozen

from endivegw.targets.ports import OrderKind
from endivegw.types import AvailabilityZone, TargetName

__all__ = [
    "DemandMeter",
    "LoadedTarget",
    "PlannedOrder",
    "ScalingPolicy",
    "plan_orders",
]


@frozen
class ScalingPolicy:
    """Hold the limits of loading and unloading.

    :param headroom: slots per slot of measured demand. Loading takes minutes, and
        demand grows meanwhile.
    :param replicas: minimum number of targets that hold each model, in different
        availability zones if possible.
    :param max_concurrent_loads: maximum number of loads in progress. Each takes its
        target's slots out of service meanwhile, and all share the store's bandwidth:
        more at once finish later and none earlier.
    :param store_bytes_per_s: this fleet's share of the weight store's bandwidth.
    """

    headroom: float = 1.3
    replicas: int = 2
    max_concurrent_loads: int = 2
    store_bytes_per_s: float = 500e6


@define
class DemandMeter:
    """Measure the demand of callers in slots, whether served or refused.

    Counting only served requests would never show that a model lacks targets.

    :param window_s: time constant of the exponential decay; a request that old counts
        for about a third.
    """

    window_s: float
    _slots: dict[str, float] = field(factory=dict)
    _seen_s: dict[str, float] = field(factory=dict)

    def add(self, model: str, service_time_s: float, now_s: float) -> None:
        """Count a request that would hold a slot for ``service_time_s``."""
        self._slots[model] = self.slots(model, now_s) + service_time_s / self.window_s
        self._seen_s[model] = now_s

    def slots(self, model: str, now_s: float) -> float:
        """Return how many slots the demand for a model keeps busy."""
        passed_s = max(0.0, now_s - self._seen_s.get(model, now_s))
        return self._slots.get(model, 0.0) * math.exp(-passed_s / self.window_s)

    def models(self) -> tuple[str, ...]:
        """Return the models that were requested."""
        return tuple(sorted(self._slots))


@frozen
class LoadedTarget:
    """Hold the models that are loaded on one target.

    :param loading: models that are being loaded.
    :param running: running requests by model; a model in use is not unloaded.
    :param free_bytes: memory left for further weights.
    """

    target: TargetName
    availability_zone: AvailabilityZone
    slots: int
    loaded: frozenset[str]
    loading: frozenset[str] = frozenset()
    running: Mapping[str, int] = field(factory=dict)
    free_bytes: int = 0


@frozen
class PlannedOrder:
    """Hold one planned load or unload order.

    :param kind: one of :class:`~endivegw.targets.ports.OrderKind`.
    :param not_before_s: earliest time to send the order, to stay within the weight
        store's bandwidth.
    """

    kind: str
    target: TargetName
    name: str
    not_before_s: float
    why: str


def _order_kind(name: str, load: bool) -> str:
    adapter = "+" in name
    if load:
        return OrderKind.LOAD_ADAPTER if adapter else OrderKind.LOAD_MODEL
    return OrderKind.UNLOAD_ADAPTER if adapter else OrderKind.UNLOAD_MODEL


@define
class _Plan:
    """Plan orders on a copy of the loaded models."""

    policy: ScalingPolicy
    sizes: Mapping[str, int]
    slots: Mapping[str, float]
    targets: dict[TargetName, LoadedTarget]
    not_before_s: float
    orders: list[PlannedOrder] = field(factory=list)

    def holders(self, model: str) -> list[LoadedTarget]:
        """Return the targets on which a model is loaded or loading."""
        return [
            target
            for target in self.targets.values()
            if model in target.loaded or model in target.loading
        ]

    def wanted(self, model: str) -> int:
        """Return how many targets should hold a model."""
        slots = max((target.slots for target in self.targets.values()), default=1)
        needed = self.slots.get(model, 0.0) * self.policy.headroom
        return max(self.policy.replicas, math.ceil(needed / max(1, slots)))

    def missing(self, model: str) -> int:
        """Return how many more targets should hold a model."""
        return self.wanted(model) - len(self.holders(model))

    def eviction_candidate(self, target: LoadedTarget, size: int) -> str | None:
        """Return a model whose unloading frees enough memory for ``size`` bytes.

        A model is not unloaded while requests run on it, or if its remaining holders
        would be fewer than its demand requires.
        """
        for model in sorted(target.loaded):
            if target.running.get(model, 0) > 0:
                continue
            if self.missing(model) >= 0:
                continue
            if target.free_bytes + self.sizes.get(model, 0) >= size:
                return model
        return None

    def place(self, model: str) -> bool:
        """Plan one more holder of a model; return False if no target can take it."""
        size = self.sizes.get(model, 0)
        held = [target.availability_zone for target in self.holders(model)]
        best: tuple[tuple[int, int, int, str], LoadedTarget, str | None] | None = None
        for target in self.targets.values():
            if model in target.loaded or model in target.loading or target.loading:
                continue
            evicted = None
            if target.free_bytes < size:
                evicted = self.eviction_candidate(target, size)
                if evicted is None:
                    continue
            rank = (
                held.count(target.availability_zone),
                0 if evicted is None else 1,
                sum(target.running.values()),
                target.target,
            )
            if best is None or rank < best[0]:
                best = (rank, target, evicted)
        if best is None:
            return False
        self._assign(best[1], model, best[2])
        return True

    def _assign(self, target: LoadedTarget, model: str, evicted: str | None) -> None:
        free = target.free_bytes - self.sizes.get(model, 0)
        loaded = target.loaded
        if evicted is not None:
            free += self.sizes.get(evicted, 0)
            loaded = loaded - {evicted}
            kind = _order_kind(evicted, load=False)
            why = f"idle, unloaded to make room for {model}"
            self.orders.append(
                PlannedOrder(kind, target.target, evicted, self.not_before_s, why)
            )
        kind = _order_kind(model, load=True)
        why = f"{self.slots.get(model, 0.0):.1f} slots of demand"
        self.orders.append(
            PlannedOrder(kind, target.target, model, self.not_before_s, why)
        )
        self.not_before_s += self.sizes.get(model, 0) / self.policy.store_bytes_per_s
        self.targets[target.target] = LoadedTarget(
            target.target,
            target.availability_zone,
            target.slots,
            loaded,
            target.loading | {model},
            target.running,
            free,
        )


def plan_orders(
    policy: ScalingPolicy,
    slots: Mapping[str, float],
    sizes: Mapping[str, int],
    targets: Iterable[LoadedTarget],
    store_free_s: float,
    now_s: float,
) -> list[PlannedOrder]:
    """Return orders that adapt the loaded models to the demand.

    The model that lacks the largest share of its targets comes first. Nothing is
    unloaded merely because demand fell: an idle model costs nothing until its memory is
    needed, and if demand returns the model is still loaded.

    :param slots: demand of the whole fleet in slots, by model.
    :param sizes: bytes of weights by model, including models without demand.
    :param store_free_s: time at which the loads ordered earlier have been read from the
        store.
    """
    known = {target.target: target for target in targets}
    plan = _Plan(policy, sizes, slots, known, max(now_s, store_free_s))
    loads_in_progress = sum(len(target.loading) for target in known.values())
    models = sorted(sizes)
    while loads_in_progress < policy.max_concurrent_loads:
        lacking = [model for model in models if plan.missing(model) > 0]
        if not lacking:
            break
        model = max(lacking, key=lambda m: (plan.missing(m) / plan.wanted(m), m))
        if plan.place(model):
            loads_in_progress += 1
        else:
            models.remove(model)
    return plan.orders
