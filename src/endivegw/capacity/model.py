"""What a router's machine can carry, and what requests need of it."""

from __future__ import annotations

import math

from attrs import frozen

__all__ = [
    "DEFAULT_TOTAL_SHARE",
    "Headroom",
    "LoadSample",
    "RequestNeed",
    "RouterCapacity",
]

_BITS_PER_BYTE = 8
_BYTES_PER_MB = 1_000_000

#: Share of the memory that may hold data for peers that read slowly. The process itself
#: and its requests need the rest.
_HELD_SHARE = 0.2

#: Share of the memory that may hold data for all peers: bodies, requests that wait,
#: answers, and data for peers that read slowly. The process itself, its connections and
#: copies of messages that are being passed on need the rest.
DEFAULT_TOTAL_SHARE = 0.25

#: Memory that is assumed if it is not stated.
_DEFAULT_MEMORY_MB = 300.0

#: Share of the descriptors that may be connections of callers. The rest is for targets,
#: the store, other routers and files.
_CALLERS_SHARE = 0.75


@frozen
class RouterCapacity:
    """Hold the limits of the machine that a router runs on; None if not stated.

    :param processor_cores: processor time per second.
    :param link_mbps: rate of the machine's link, in each direction.
    :param memory_mb: memory of the process.
    :param descriptors: maximum number of open descriptors.
    """

    processor_cores: float | None = None
    link_mbps: float | None = None
    memory_mb: float | None = None
    descriptors: int | None = None

    @property
    def link_bytes_per_s(self) -> float | None:
        """Return the rate of the link in bytes per second."""
        if self.link_mbps is None:
            return None
        return self.link_mbps * 1_000_000 / _BITS_PER_BYTE

    @property
    def max_held_bytes(self) -> float:
        """Return how much may be held for peers that read slowly."""
        if self.memory_mb is None:
            return math.inf
        return self.memory_mb * _BYTES_PER_MB * _HELD_SHARE

    def max_total_bytes(self, share: float) -> float:
        """Return how much may be held for all peers together.

        :param share: part of the memory.
        """
        memory_mb = _DEFAULT_MEMORY_MB if self.memory_mb is None else self.memory_mb
        return memory_mb * _BYTES_PER_MB * share

    @property
    def max_connections(self) -> float:
        """Return how many connections of callers may be open."""
        if self.descriptors is None:
            return math.inf
        return self.descriptors * _CALLERS_SHARE


@frozen
class RequestNeed:
    """Hold what a request is expected to take of its router.

    :param received_bytes: from the caller and from the target.
    :param sent_bytes: to the target and to the caller.
    """

    received_bytes: float
    sent_bytes: float
    processor_s: float


@frozen
class Headroom:
    """Hold what a router can carry beyond its present load, per second.

    :param link_bytes: the smaller one of both directions.
    :param in_rotation: whether the router asks the load balancer for new connections.
    """

    link_bytes: float
    processor_s: float
    in_rotation: bool = True


@frozen
class LoadSample:
    """Hold what was measured of a router since the last sample.

    :param loop_delay_s: by how much the event loop was late.
    :param open_descriptors: connections and other descriptors.
    """

    loop_delay_s: float
    open_descriptors: int
