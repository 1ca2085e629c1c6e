"""Limit the requests that all routers together send to a target that is warming up.

A target that has just started, or that was unused for a while, fails above a low rate
of requests. It is also empty, so every router would choose it. The routers share the
rate without talking: a few of them send to the target, each a fixed number of requests
per second, and all others send none. Every router that knows the same fleet computes
the same senders. A router with an outdated view of the fleet may take itself for one
of them, which adds its few requests but not those of the whole fleet.
"""

from __future__ import annotations

from typing import Collection

from attrs import frozen

from endivegw.rendezvous import rendezvous_order
from endivegw.types import TargetName

__all__ = [
    "MAX_SENDS",
    "NO_SENDS",
    "SendQuota",
    "WarmUp",
    "WarmUpLimits",
    "send_quota",
]

#: Shortest window of a quota; bounds on a target's load count requests per second.
_MIN_WINDOW_S = 1.0

#: Maximum number of sends whose times are kept for one target.
MAX_SENDS = 64


@frozen
class WarmUpLimits:
    """Hold how a service's targets warm up.

    :param duration_s: time from a target's start until it is warm.
    :param rate_per_s: requests per second that a target bears until then.
    """

    duration_s: float
    rate_per_s: float


@frozen
class SendQuota:
    """Hold how many requests one router may send to one target in any window.

    :param sends: maximum number of sends; 0 if the router may send none.
    :param window_s: length of the sliding window.
    """

    sends: int
    window_s: float = _MIN_WINDOW_S


NO_SENDS = SendQuota(0)


@frozen
class WarmUp:
    """Hold until when a target warms up, and this router's quota until then."""

    ends_s: float
    quota: SendQuota


def send_quota(
    target: TargetName, rate_per_s: float, vm: str, vms: Collection[str]
) -> SendQuota:
    """Return a router's quota for a target that is warming up.

    With fewer routers than requests per second, every router sends. In a larger fleet,
    as many routers as requests per second are chosen for each target, so that one with
    an outdated view of the fleet adds one request per second at most.

    :param rate_per_s: requests per second from all routers together.
    :param vm: machine of the router.
    :param vms: machines of all registered routers, including this one.
    """
    senders = min(len(vms), max(1, int(rate_per_s)))
    if vm not in rendezvous_order(target, vms)[:senders]:
        return NO_SENDS
    sends = min(MAX_SENDS, max(1, int(rate_per_s / senders)))
    return SendQuota(sends, max(_MIN_WINDOW_S, sends * senders / rate_per_s))
