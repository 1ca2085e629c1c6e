"""State of one peer as observed by one process."""

from __future__ import annotations

from collections import deque

from attrs import define, evolve, field

from endivegw.membership.peer_states import PeerState
from endivegw.membership.policy import MembershipPolicy
from endivegw.membership.ports import Heartbeat, PeerAddress
from endivegw.services import ListedVm, VmState
from endivegw.types import AvailabilityZone, InstanceId

__all__ = ["Peer"]

#: Number of replaced instances remembered per address. Their delayed responses arrive
#: within seconds, so a few entries suffice.
_MAX_RETIRED_INSTANCES = 8


@define
class Peer:
    """Hold the list entry and the heartbeat state of one machine.

    :ivar list_leaving: whether any reading of the list had the machine as leaving;
        never reset.
    :ivar superseded: whether a newer machine has the address.
    :ivar heartbeat: the latest accepted heartbeat response of the current instance.
    :ivar last_received_s: when the latest response was received.
    :ivar last_answered_sent_s: when the most recent answered heartbeat was sent.
    :ivar failures: consecutive heartbeats without a response.
    :ivar responsive_since_s: since when every heartbeat has been answered.
    :ivar recoveries_s: when the peer became responsive again.
    :ivar retired_instances: replaced instances, whose responses are ignored.
    """

    address: PeerAddress
    availability_zone: AvailabilityZone
    first_listed_s: float
    last_listed_s: float
    listed: bool = True
    list_leaving: bool = False
    superseded: bool = False
    heartbeat: Heartbeat | None = None
    last_received_s: float | None = None
    last_answered_sent_s: float = float("-inf")
    failures: int = 0
    responsive_since_s: float | None = None
    recoveries_s: deque[float] = field(factory=lambda: deque(maxlen=16))
    retired_instances: deque[InstanceId] = field(
        factory=lambda: deque(maxlen=_MAX_RETIRED_INSTANCES)
    )

    @property
    def instance_id(self) -> InstanceId | None:
        """Return the instance that responded last."""
        return self.heartbeat.instance_id if self.heartbeat else None

    def apply_listing(self, vm: ListedVm, now_s: float) -> None:
        """Apply the list entry of the machine.

        A reading of a lagging list may be older than the previous one, so that an
        entry changes from ``leaving`` back to ``live``. A machine that leaves never
        returns under the same id; accepting the older entry would send it new work.
        """
        self.listed = True
        self.last_listed_s = now_s
        if vm.state is VmState.LEAVING:
            self.list_leaving = True

    def apply_heartbeat(
        self,
        heartbeat: Heartbeat,
        sent_s: float,
        now_s: float,
        unresponsive_after_s: float,
    ) -> bool:
        """Apply a heartbeat response; return False if it is outdated.

        Responses may be delayed, duplicated and reordered. A response is outdated if
        its heartbeat was sent no later than the most recent answered one, or if
        its instance has been replaced by another.
        """
        if (
            sent_s <= self.last_answered_sent_s
            or heartbeat.instance_id in self.retired_instances
        ):
            return False
        if self.instance_id not in (None, heartbeat.instance_id):
            self._replace_instance()
        if self.heartbeat and self.heartbeat.leaving:
            # Leaving is final for an instance. A response that retracts it is a fault
            # of the peer, and new work sent there would be interrupted.
            heartbeat = evolve(heartbeat, leaving=True)
        if (
            self.is_unresponsive(now_s, unresponsive_after_s)
            and self.last_received_s is not None
        ):
            self.recoveries_s.append(now_s)
        if self.responsive_since_s is None:
            self.responsive_since_s = now_s
        self.heartbeat = heartbeat
        self.last_received_s = now_s
        self.last_answered_sent_s = sent_s
        self.failures = 0
        return True

    def record_missed_heartbeat(self, sent_s: float) -> None:
        """Record a heartbeat without a response."""
        if sent_s > self.last_answered_sent_s:
            self.failures += 1
            self.responsive_since_s = None

    def is_unresponsive(self, now_s: float, unresponsive_after_s: float) -> bool:
        """Return whether two heartbeats, or the time limit, passed unanswered."""
        if self.last_received_s is None:
            return True
        return (
            self.failures >= 2 or now_s - self.last_received_s >= unresponsive_after_s
        )

    def is_flapping(self, now_s: float, policy: MembershipPolicy) -> bool:
        """Return whether the peer recovered too often and is not yet stable."""
        window_start_s = now_s - policy.flap_window_s
        recoveries = sum(1 for at_s in self.recoveries_s if at_s >= window_start_s)
        if recoveries < policy.flap_limit or self.responsive_since_s is None:
            return recoveries >= policy.flap_limit
        return now_s - self.responsive_since_s < policy.stable_s

    def state(self, now_s: float, policy: MembershipPolicy) -> PeerState:
        """Return the state of the peer at ``now_s``."""
        unresponsive = self.is_unresponsive(now_s, policy.unresponsive_after_s)
        if (
            not self.listed
            and unresponsive
            and self._is_absent_beyond_lag(now_s, policy)
        ):
            return PeerState.REMOVED
        if self.superseded:
            return PeerState.SUPERSEDED
        if self.list_leaving or (self.heartbeat and self.heartbeat.leaving):
            return PeerState.LEAVING
        if self.heartbeat is None:
            return PeerState.NEVER_RESPONDED
        if self.heartbeat.draining:
            return PeerState.DRAINING
        if unresponsive:
            return PeerState.UNRESPONSIVE
        if not self.listed:
            return PeerState.UNLISTED
        if self.is_flapping(now_s, policy):
            return PeerState.FLAPPING
        return PeerState.ALIVE

    def _is_absent_beyond_lag(self, now_s: float, policy: MembershipPolicy) -> bool:
        last_seen_s = max(
            self.last_listed_s, self.last_received_s or self.last_listed_s
        )
        return now_s - last_seen_s >= policy.list_lag_s

    def _replace_instance(self) -> None:
        assert self.heartbeat is not None
        self.retired_instances.append(self.heartbeat.instance_id)
        self.heartbeat = None
        self.responsive_since_s = None
