"""What one process has seen of one peer."""

from __future__ import annotations

from collections import deque

from attrs import define, evolve, field

from endivegw.membership.conclusions import PeerState
from endivegw.membership.policy import MembershipPolicy
from endivegw.membership.ports import Heartbeat, PeerAddress
from endivegw.services import ListedVm, VmState
from endivegw.types import AvailabilityZone, InstanceId

__all__ = ["Peer"]

#: How many former instances of one address are remembered. Their late answers
#: arrive within seconds, so that more than a few never matter.
_RETIRED_KEPT = 8


@define
class Peer:
    """Hold what was listed and heard of one machine.

    :ivar list_leaving: whether the list ever said so; it does not go back.
    :ivar answered_sent_s: when the heartbeat was sent that was answered last.
    :ivar steady_since_s: since when each heartbeat was answered.
    :ivar returns_s: when the peer came back from silence.
    :ivar superseded: whether a newer machine holds the address.
    """

    address: PeerAddress
    availability_zone: AvailabilityZone
    first_listed_s: float
    last_listed_s: float
    listed: bool = True
    list_leaving: bool = False
    superseded: bool = False
    heartbeat: Heartbeat | None = None
    heard_s: float | None = None
    answered_sent_s: float = float("-inf")
    failures: int = 0
    steady_since_s: float | None = None
    returns_s: deque[float] = field(factory=lambda: deque(maxlen=16))
    retired: deque[InstanceId] = field(factory=lambda: deque(maxlen=_RETIRED_KEPT))

    @property
    def instance_id(self) -> InstanceId | None:
        """Return the instance that answered last."""
        return self.heartbeat.instance_id if self.heartbeat else None

    def take_listing(self, vm: ListedVm, now_s: float) -> None:
        """Note that the list names the machine.

        A lagging list may be read older than before, so that ``leaving`` goes
        back to ``live`` in it. A machine that leaves never comes back under
        the same id; taking the older word would send it new work.
        """
        self.listed = True
        self.last_listed_s = now_s
        if vm.state is VmState.LEAVING:
            self.list_leaving = True

    def take_answer(
        self, heartbeat: Heartbeat, sent_s: float, now_s: float, silence_s: float
    ) -> bool:
        """Note an answer; return False where it is too old to count.

        Answers are late, doubled and reordered. One that was asked for before
        the newest known answer, or that comes from an instance which another
        has replaced, would set the view back.
        """
        if sent_s <= self.answered_sent_s or heartbeat.instance_id in self.retired:
            return False
        if self.instance_id not in (None, heartbeat.instance_id):
            self._replace_instance()
        if self.heartbeat and self.heartbeat.leaving:
            # An instance that ends does not change its mind; whatever says so
            # is a fault of the peer, and new work there would be cut off.
            heartbeat = evolve(heartbeat, leaving=True)
        if self.is_silent(now_s, silence_s) and self.heard_s is not None:
            self.returns_s.append(now_s)
        if self.steady_since_s is None:
            self.steady_since_s = now_s
        self.heartbeat = heartbeat
        self.heard_s = now_s
        self.answered_sent_s = sent_s
        self.failures = 0
        return True

    def take_silence(self, sent_s: float) -> None:
        """Note a heartbeat that was not answered."""
        if sent_s > self.answered_sent_s:
            self.failures += 1
            self.steady_since_s = None

    def is_silent(self, now_s: float, silence_s: float) -> bool:
        """Return whether the peer has missed two heartbeats, or their time."""
        if self.heard_s is None:
            return True
        return self.failures >= 2 or now_s - self.heard_s >= silence_s

    def is_flapping(self, now_s: float, policy: MembershipPolicy) -> bool:
        """Return whether the peer came back too often and is not yet steady."""
        edge_s = now_s - policy.flap_window_s
        returns = sum(1 for at_s in self.returns_s if at_s >= edge_s)
        if returns < policy.flap_limit or self.steady_since_s is None:
            return returns >= policy.flap_limit
        return now_s - self.steady_since_s < policy.steady_s

    def state(self, now_s: float, policy: MembershipPolicy) -> PeerState:
        """Return how the peer looks now."""
        silent = self.is_silent(now_s, policy.silence_s)
        if not self.listed and silent and self._long_unseen(now_s, policy):
            return PeerState.GONE
        if self.superseded:
            return PeerState.SUPERSEDED
        if self.list_leaving or (self.heartbeat and self.heartbeat.leaving):
            return PeerState.LEAVING
        if self.heartbeat is None:
            return PeerState.UNHEARD
        if self.heartbeat.draining:
            return PeerState.DRAINING
        if silent:
            return PeerState.SILENT
        if not self.listed:
            return PeerState.UNLISTED
        if self.is_flapping(now_s, policy):
            return PeerState.FLAPPING
        return PeerState.ALIVE

    def _long_unseen(self, now_s: float, policy: MembershipPolicy) -> bool:
        seen_s = max(self.last_listed_s, self.heard_s or self.last_listed_s)
        return now_s - seen_s >= policy.list_lag_s

    def _replace_instance(self) -> None:
        assert self.heartbeat is not None
        self.retired.append(self.heartbeat.instance_id)
        self.heartbeat = None
        self.steady_since_s = None
