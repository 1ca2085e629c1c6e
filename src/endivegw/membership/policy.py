"""Times and limits of membership, each with the load it is made for."""

from __future__ import annotations

from attrs import field, frozen, validators

__all__ = ["MembershipPolicy"]


def _positive(default: float) -> float:
    value: float = field(default=default, validator=validators.gt(0))
    return value


@frozen
class MembershipPolicy:
    """Hold the times and limits by which peers are watched.

    The defaults are for 370 routers before 650 sidecars. A heartbeat costs
    about 0.9 KB on the wire and two milliseconds of processor time a side, and
    a daemon may spend 6 KB and 10 ms a second on control; docs/CAPACITY.md has
    the measured figures.

    :param heartbeat_interval_s: the longest; with the timeout below 3 s
        together, so that a draining target is known in that time without the
        table.
    :param least_interval_s: the shortest, for the small fleets of today.
    :param heartbeats_per_s: what one process sends to targets at most: two
        thirds of what the processor limit allows. The rest is for the table,
        the configuration and other routers.
    :param heartbeat_timeout_s: a sidecar answers within milliseconds; two
        regions are some 100 ms apart.
    :param watch_all: up to how many targets a router watches all of them, at
        a higher rate: 40 cost it about 2 % of a core, and a caller's retry can
        join its answer at any of them.
    :param routers_per_router: partners for moving tokens between routers.
    :param router_interval_s: routers tell each other little that is urgent.
    :param silence_s: two lost heartbeats in a row, not one: on an ordinary day
        single losses are far more common than dead peers.
    :param list_interval_s: the longest; 1,020 processes each 30 s make 34
        listings a second.
    :param listings_per_s: what the whole fleet asks for, which is how the
        interval follows from the length of the list.
    :param list_lag_s: how far the list may trail; a peer is forgotten only
        when it has been both unlisted and silent for longer.
    :param flap_window_s: how long returns from silence are remembered.
    :param flap_limit: how many returns in the window mark a peer as flapping.
    :param steady_s: how long a flapping peer must answer to be preferred again.
    :param cut_off_share: from which share of silent peers on the observer
        takes itself for the one that is cut off.
    """

    heartbeat_interval_s: float = _positive(2.5)
    heartbeat_timeout_s: float = _positive(0.4)
    least_interval_s: float = _positive(0.5)
    heartbeats_per_s: float = _positive(4.0)
    watch_all: int = 40
    routers_per_router: int = 4
    router_interval_s: float = _positive(5.0)
    silence_s: float = _positive(6.0)
    list_interval_s: float = _positive(30.0)
    least_list_interval_s: float = _positive(2.0)
    listings_per_s: float = _positive(34.0)
    list_lag_s: float = _positive(120.0)
    flap_window_s: float = _positive(60.0)
    flap_limit: int = 3
    steady_s: float = _positive(10.0)
    cut_off_share: float = 0.67

    @property
    def targets_per_router(self) -> int:
        """Return how many targets one router can watch at the longest interval."""
        return int(self.heartbeats_per_s * self.heartbeat_interval_s)

    def target_interval_s(self, watched: int) -> float:
        """Return the time between two heartbeats to each of so many targets."""
        wanted_s = watched / self.heartbeats_per_s
        return min(max(wanted_s, self.least_interval_s), self.heartbeat_interval_s)

    def listing_interval_s(self, listed: int) -> float:
        """Return the time between two readings of a list of so many machines."""
        wanted_s = listed / self.listings_per_s
        return min(max(wanted_s, self.least_list_interval_s), self.list_interval_s)
