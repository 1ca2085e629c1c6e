"""Decide which requests a router takes on, by what its machine can carry."""

from __future__ import annotations

import math

from attrs import define, field

from endivegw.capacity.model import (
    Headroom,
    LoadSample,
    RequestNeed,
    RouterCapacity,
)
from endivegw.capacity.resource import Resource
from endivegw.results import Reason, Refused
from endivegw.types import ClientAccountName, Priority

__all__ = ["CapacityGate"]

#: Share of the link and of the processor that requests may use. The rest is for
#: messages between routers, for the store and for errors of the estimates.
_USABLE_SHARE = 0.8

#: Maximum backlog for the most urgent requests. Their streams take longer than that to
#: arrive, so that hardly any of it waits in the link.
_MAX_BACKLOG_S = 0.5

#: Share of the maximum backlog that requests of each priority may fill.
_PRIORITY_SHARES = {Priority.URGENT: 1.0, Priority.NORMAL: 0.75, Priority.BATCH: 0.5}

#: Factor on that share for requests of an account that uses more than its part.
_ABOVE_PART_SHARE = 0.6

#: Time constant of the accounts' use of the router.
_ACCOUNT_USE_S = 2.0

#: Use below which an account does not count as competing for the router.
_MIN_USE_S = 0.001

#: Delay of the event loop from which on it takes on less work, and below which more. A
#: delay adds to the time to the first event and to each pause.
_HIGH_DELAY_S = 0.04
_LOW_DELAY_S = 0.01

#: Factors on the processor's estimated rate at each sample with such a delay, the share
#: of it in use from which on they apply, and the bounds of their product.
_SLOWER = 0.9
_FASTER = 1.03
_BUSY_SHARE = 0.4
_MIN_PROCESSOR_SCALE = 0.2
_MAX_PROCESSOR_SCALE = 4.0

#: Share of the descriptors that may be open.
_USABLE_DESCRIPTORS = 0.9

#: Retry-after where other routers have room: callers' retries reach other routers.
_RETRY_ELSEWHERE_S = 0.05


@define
class CapacityGate:
    """Admit requests while the router's machine can carry them.

    Each admitted request adds what it needs to the backlog of the link and of the
    processor, which shrinks as time passes. Urgent and small requests fit longer, and
    those of an account that uses more than its part of the router not as long.

    :param capacity: resources that are not stated have no limit.
    :ivar peers_have_room: whether refused callers find room at other routers.
    """

    capacity: RouterCapacity
    peers_have_room: bool = False
    _received: Resource | None = None
    _sent: Resource | None = None
    _processor: Resource | None = None
    _processor_scale: float = 1.0
    _descriptors_used: int = 0
    _use_s: dict[ClientAccountName, float] = field(factory=dict)
    _updated_s: float = 0.0

    def __attrs_post_init__(self) -> None:
        link_per_s = self.capacity.link_bytes_per_s
        if link_per_s is not None:
            self._received = Resource(link_per_s * _USABLE_SHARE)
            self._sent = Resource(link_per_s * _USABLE_SHARE)
        if self.capacity.processor_cores is not None:
            self._processor = Resource(self.capacity.processor_cores * _USABLE_SHARE)

    def admit(
        self,
        account: ClientAccountName,
        priority: Priority,
        need: RequestNeed,
        now_s: float,
    ) -> Refused | None:
        """Take on a request, or return why it is refused."""
        self._advance(now_s)
        amounts = self._amounts(need)
        max_backlog_s = _MAX_BACKLOG_S * self._share(account, priority)
        for _, resource, amount in amounts:
            resource.offer(amount)
        for name, resource, amount in amounts:
            if not resource.fits(amount, max_backlog_s):
                return self._refusal(name, resource, max_backlog_s)
        if self._lacks_descriptors():
            return Refused(
                Reason.ROUTER_FULL,
                f"{self._descriptors_used} of {self.capacity.descriptors} descriptors "
                "are open",
                _RETRY_ELSEWHERE_S if self.peers_have_room else None,
            )
        need_s = 0.0
        for _, resource, amount in amounts:
            resource.admit(amount)
            need_s = max(need_s, amount / resource.per_s)
        self._use_s[account] = self._use_s.get(account, 0.0) + need_s
        return None

    def record(self, sample: LoadSample, now_s: float) -> None:
        """Apply a sample of the router's load."""
        self._advance(now_s)
        self._descriptors_used = sample.open_descriptors
        processor = self._processor
        cores = self.capacity.processor_cores
        if processor is None or cores is None:
            return
        # An idle processor says nothing about the cost of requests. A delay there has
        # another cause, such as a large configuration.
        is_busy = processor.admitted > _BUSY_SHARE
        if sample.loop_delay_s > _HIGH_DELAY_S:
            if is_busy:
                self._processor_scale *= _SLOWER
        elif sample.loop_delay_s < _LOW_DELAY_S:
            if is_busy or self._processor_scale < 1.0:
                self._processor_scale *= _FASTER
        self._processor_scale = min(
            _MAX_PROCESSOR_SCALE, max(_MIN_PROCESSOR_SCALE, self._processor_scale)
        )
        processor.per_s = cores * _USABLE_SHARE * self._processor_scale

    def offered(self, now_s: float) -> float:
        """Return the share of the scarcest resource that callers ask for."""
        self._advance(now_s)
        return max((resource.offered for resource in self._resources()), default=0.0)

    def carried(self, now_s: float) -> Headroom:
        """Return what the admitted requests use, in the units of the headroom."""
        self._advance(now_s)
        links = [r.admitted * r.per_s for r in (self._received, self._sent) if r]
        processor = self._processor
        return Headroom(
            link_bytes=max(links, default=0.0),
            processor_s=processor.admitted * processor.per_s if processor else 0.0,
        )

    def headroom(self, now_s: float, in_rotation: bool) -> Headroom:
        """Return what the router can carry beyond its present load."""
        self._advance(now_s)
        links = [r.spare for r in (self._received, self._sent) if r is not None]
        link = min(links, default=math.inf)
        processor = self._processor.spare if self._processor else math.inf
        return Headroom(link, processor, in_rotation)

    def _resources(self) -> list[Resource]:
        found = (self._received, self._sent, self._processor)
        return [resource for resource in found if resource is not None]

    def _amounts(self, need: RequestNeed) -> list[tuple[str, Resource, float]]:
        amounts = (
            ("link, inbound", self._received, need.received_bytes),
            ("link, outbound", self._sent, need.sent_bytes),
            ("processor", self._processor, need.processor_s),
        )
        return [(name, found, amount) for name, found, amount in amounts if found]

    def _share(self, account: ClientAccountName, priority: Priority) -> float:
        """Return the share of the maximum backlog that a request may fill."""
        share = _PRIORITY_SHARES[priority]
        uses_s = [use_s for use_s in self._use_s.values() if use_s > _MIN_USE_S]
        used_s = self._use_s.get(account, 0.0)
        if len(uses_s) > 1 and used_s > sum(uses_s) / len(uses_s):
            share *= _ABOVE_PART_SHARE
        return share

    def _refusal(self, name: str, resource: Resource, max_backlog_s: float) -> Refused:
        detail = (
            f"{name}: {resource.backlog_s:.3f} s of work are admitted, the limit for "
            f"this request is {max_backlog_s:.3f} s"
        )
        retry_s = _RETRY_ELSEWHERE_S if self.peers_have_room else resource.backlog_s
        return Refused(Reason.ROUTER_FULL, detail, retry_s)

    def _lacks_descriptors(self) -> bool:
        limit = self.capacity.descriptors
        return limit is not None and (
            self._descriptors_used > limit * _USABLE_DESCRIPTORS
        )

    def _advance(self, now_s: float) -> None:
        passed_s = max(0.0, now_s - self._updated_s)
        if passed_s == 0.0:
            return
        self._updated_s = now_s
        for resource in self._resources():
            resource.advance(now_s)
        decay = math.exp(-passed_s / _ACCOUNT_USE_S)
        self._use_s = {
            account: use_s * decay
            for account, use_s in self._use_s.items()
            if use_s * decay > _MIN_USE_S
        }
