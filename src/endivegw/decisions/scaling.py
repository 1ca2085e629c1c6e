"""Where models and adapters should be loaded, by demand and within the store's rate."""

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

    :param headroom: slots per slot of measured demand. Loading takes minutes,
        and demand grows meanwhile.
    :param replicas: targets that hold each model at the least, in different
        availability zones where there are some.
    :param loads_at_once: loads under way at the same time. Each one takes a
        target's slots away for its time, and all share the store's rate: more
        at once make each one later, and none earlier.
    :param store_bytes_per_s: this fleet's share of the weight store's rate.
    """

    headroom: float = 1.3
    replicas: int = 2
    loads_at_once: int = 2
    store_bytes_per_s: float = 500e6


@define
class DemandMeter:
    """Measure the slots that callers asked for, served or refused.

    Counting only what was served would never see that a model lacks targets.

    :param window_s: time after which a request counts for a third.
    """

    window_s: float
    _slots: dict[str, float] = field(factory=dict)
    _seen_s: dict[str, float] = field(factory=dict)

    def add(self, model: str, held_s: float, now_s: float) -> None:
        """Count a request that holds a slot for so long."""
        self._slots[model] = self.slots(model, now_s) + held_s / self.window_s
        self._seen_s[model] = now_s

    def slots(self, model: str, now_s: float) -> float:
        """Return how many slots the demand keeps busy."""
        passed_s = max(0.0, now_s - self._seen_s.get(model, now_s))
        return self._slots.get(model, 0.0) * math.exp(-passed_s / self.window_s)

    def models(self) -> tuple[str, ...]:
        """Return the models that were asked for."""
        return tuple(sorted(self._slots))


@frozen
class LoadedTarget:
    """Hold what is loaded on one target.

    :param loading: models on their way.
    :param running: work on the target by model; a model in use stays.
    :param room_bytes: memory left for further weights.
    """

    target: TargetName
    availability_zone: AvailabilityZone
    slots: int
    loaded: frozenset[str]
    loading: frozenset[str] = frozenset()
    running: Mapping[str, int] = field(factory=dict)
    room_bytes: int = 0


@frozen
class PlannedOrder:
    """Hold one order to be given.

    :param kind: one of :class:`~endivegw.targets.ports.OrderKind`.
    :param begin_s: not to be given before, for the weight store's rate.
    """

    kind: str
    target: TargetName
    name: str
    begin_s: float
    why: str


def _order_kind(name: str, load: bool) -> str:
    adapter = "+" in name
    if load:
        return OrderKind.LOAD_ADAPTER if adapter else OrderKind.LOAD_MODEL
    return OrderKind.UNLOAD_ADAPTER if adapter else OrderKind.UNLOAD_MODEL


@define
class _Plan:
    """Work out orders on a copy of what is loaded."""

    policy: ScalingPolicy
    sizes: Mapping[str, int]
    slots: Mapping[str, float]
    targets: dict[TargetName, LoadedTarget]
    begin_s: float
    orders: list[PlannedOrder] = field(factory=list)

    def holders(self, model: str) -> list[LoadedTarget]:
        """Return the targets that hold a model or will."""
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

    def victim(self, target: LoadedTarget, size: int) -> str | None:
        """Return a model whose unloading makes room for ``size`` bytes.

        A model stays where work runs on it, and where its other holders are
        fewer than its demand wants.
        """
        for model in sorted(target.loaded):
            if target.running.get(model, 0) > 0:
                continue
            if self.missing(model) >= 0:
                continue
            if target.room_bytes + self.sizes.get(model, 0) >= size:
                return model
        return None

    def place(self, model: str) -> bool:
        """Plan one more holder of a model; False where there is no place."""
        size = self.sizes.get(model, 0)
        held = [target.availability_zone for target in self.holders(model)]
        best: tuple[tuple[int, int, int, str], LoadedTarget, str | None] | None = None
        for target in self.targets.values():
            if model in target.loaded or model in target.loading or target.loading:
                continue
            victim = None
            if target.room_bytes < size:
                victim = self.victim(target, size)
                if victim is None:
                    continue
            rank = (
                held.count(target.availability_zone),
                0 if victim is None else 1,
                sum(target.running.values()),
                target.target,
            )
            if best is None or rank < best[0]:
                best = (rank, target, victim)
        if best is None:
            return False
        self._give(best[1], model, best[2])
        return True

    def _give(self, target: LoadedTarget, model: str, victim: str | None) -> None:
        room = target.room_bytes - self.sizes.get(model, 0)
        loaded = target.loaded
        if victim is not None:
            room += self.sizes.get(victim, 0)
            loaded = loaded - {victim}
            kind = _order_kind(victim, load=False)
            why = f"unused, gives room for {model}"
            self.orders.append(
                PlannedOrder(kind, target.target, victim, self.begin_s, why)
            )
        kind = _order_kind(model, load=True)
        why = f"{self.slots.get(model, 0.0):.1f} slots asked for"
        self.orders.append(PlannedOrder(kind, target.target, model, self.begin_s, why))
        self.begin_s += self.sizes.get(model, 0) / self.policy.store_bytes_per_s
        self.targets[target.target] = LoadedTarget(
            target.target,
            target.availability_zone,
            target.slots,
            loaded,
            target.loading | {model},
            target.running,
            room,
        )


def plan_orders(
    policy: ScalingPolicy,
    slots: Mapping[str, float],
    sizes: Mapping[str, int],
    targets: Iterable[LoadedTarget],
    store_free_s: float,
    now_s: float,
) -> list[PlannedOrder]:
    """Return orders that bring loaded models closer to the demand.

    The model that lacks the largest share of its targets comes first. Nothing
    is unloaded merely because demand fell: an idle model costs nothing until
    its memory is wanted, and demand that comes back finds it loaded.

    :param slots: demand by model, of the whole fleet.
    :param sizes: bytes of weights by model, also of models without demand.
    :param store_free_s: when the loads ordered before have been read.
    """
    known = {target.target: target for target in targets}
    plan = _Plan(policy, sizes, slots, known, max(now_s, store_free_s))
    under_way = sum(len(target.loading) for target in known.values())
    models = sorted(sizes)
    while under_way < policy.loads_at_once:
        lacking = [model for model in models if plan.missing(model) > 0]
        if not lacking:
            break
        model = max(lacking, key=lambda m: (plan.missing(m) / plan.wanted(m), m))
        if plan.place(model):
            under_way += 1
        else:
            models.remove(model)
    return plan.orders
