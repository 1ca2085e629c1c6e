"""Timing and limits of heartbeats, list polling and failure detection."""

from __future__ import annotations

from attrs import field, frozen, validators

__all__ = ["MembershipPolicy"]


def _positive(default: float) -> float:
    value: float = field(default=default, validator=validators.gt(0))
    return value


@frozen
class MembershipPolicy:
    """Hold the timing and the limits of membership.

    The defaults are designed for 370 routers and 650 sidecars. A heartbeat costs
    about 0.9 KB on the wire and 2 ms of processor time on each side, and a daemon
    may spend 6 KB and 10 ms per second on control traffic; see docs/CAPACITY.md.

    :param heartbeat_interval_s: longest interval between heartbeats to one target,
        in seconds. Together with the timeout it stays below 3 s, so that a drain is
        detected within that time without the table.
    :param heartbeat_timeout_s: longest wait for a response, in seconds. A sidecar
        responds within milliseconds; the round trip between two regions takes about
        100 ms.
    :param min_interval_s: shortest interval between heartbeats to one target, in
        seconds; applies to small fleets.
    :param heartbeats_per_s: maximum heartbeats per second that one process sends to
        targets. This is two thirds of the processor limit; the rest is for the
        table, the configuration and other routers.
    :param watch_all: largest number of targets that a router watches completely and
        at a higher rate. 40 targets cost it about 2 % of a core, and a retried
        request can join the response to its first attempt at any of them.
    :param routers_per_router: number of routers with which a router exchanges tokens.
    :param router_interval_s: interval between heartbeats to one router, in seconds.
        Little of what routers exchange is urgent.
    :param unresponsive_after_s: time without a response after which a peer counts as
        unresponsive, in seconds. It covers two lost heartbeats in a row, because
        single losses are far more common than dead peers.
    :param list_interval_s: longest interval between readings of the VM list, in
        seconds; 1,020 processes at 30 s make 34 readings per second.
    :param min_list_interval_s: shortest interval between readings of the VM list, in
        seconds.
    :param listings_per_s: readings of the VM list per second by the whole fleet. The
        interval is derived from this rate and the length of the list.
    :param list_lag_s: longest time by which the list may lag, in seconds. A peer is
        removed only after it has been both unlisted and unresponsive for this time.
    :param flap_window_s: time for which recoveries of a peer count, in seconds.
    :param flap_limit: recoveries within the window that mark a peer as flapping.
    :param stable_s: time for which a flapping peer must respond to every heartbeat
        before it is preferred again, in seconds.
    :param isolation_threshold: share of unresponsive peers, from 0 to 1, from which
        the observing process considers itself isolated.
    """

    heartbeat_interval_s: float = _positive(2.5)
    heartbeat_timeout_s: float = _positive(0.4)
    min_interval_s: float = _positive(0.5)
    heartbeats_per_s: float = _positive(4.0)
    watch_all: int = 40
    routers_per_router: int = 4
    router_interval_s: float = _positive(5.0)
    unresponsive_after_s: float = _positive(6.0)
    list_interval_s: float = _positive(30.0)
    min_list_interval_s: float = _positive(2.0)
    listings_per_s: float = _positive(34.0)
    list_lag_s: float = _positive(120.0)
    flap_window_s: float = _positive(60.0)
    flap_limit: int = 3
    stable_s: float = _positive(10.0)
    isolation_threshold: float = 0.67

    @property
    def targets_per_router(self) -> int:
        """Return the number of targets one router can watch at the longest interval."""
        return int(self.heartbeats_per_s * self.heartbeat_interval_s)

    def target_interval_s(self, watched: int) -> float:
        """Return the heartbeat interval per target for ``watched`` targets."""
        wanted_s = watched / self.heartbeats_per_s
        return min(max(wanted_s, self.min_interval_s), self.heartbeat_interval_s)

    def listing_interval_s(self, listed: int) -> float:
        """Return the interval between readings of a list of ``listed`` machines."""
        wanted_s = listed / self.listings_per_s
        return min(max(wanted_s, self.min_list_interval_s), self.list_interval_s)
