"""Streams on routes that are split between services."""

from __future__ import annotations

import random
import unittest

from endivegw.platform.wire import PlatformWire
from endivegw.relay.admission import admit
from endivegw.relay.messages import CallerRequest
from endivegw.results import Refused
from endivegw.routing import (
    FleetConfiguration,
    Route,
    RouteKind,
    RoutingTable,
    ServiceKind,
    WeightedService,
)

SEED = 1
STREAMS = 400


def routing_table(old_weight: float) -> RoutingTable:
    """Return a table with one route that is split between two services.

    :param old_weight: weight of the first service; both together have 100.
    """
    services = (
        WeightedService("old", old_weight),
        WeightedService("new", 100.0 - old_weight),
    )
    route = Route(
        "chat", "h.example", "/chat/", RouteKind.RESUMABLE_STREAM, services, 20, 1, 0
    )
    kinds = dict.fromkeys(("old", "new"), ServiceKind.ENGINE)
    return RoutingTable(FleetConfiguration(1, (route,), kinds, ()))


class Router:
    """Admit streams like one router."""

    def __init__(self, seed: int, old_weight: float) -> None:
        self._rng = random.Random(seed)
        self._table = routing_table(old_weight)

    def service_of(self, attempt_id: str, resumes: str | None = None) -> str:
        """Return the service to which a stream is sent."""
        fields = [
            (b"host", b"h.example"),
            (b"endivegw-attempt-id", attempt_id.encode()),
        ]
        if resumes is not None:
            fields += [(b"last-event-id", b"3"), (b"resumes", resumes.encode())]
        request = CallerRequest(b"POST", b"/chat/x", fields)
        admitted = admit(request, self._table, PlatformWire(), self._rng, 0.0)
        assert not isinstance(admitted, Refused), admitted
        return admitted.service


def moved_streams(old_weight: float, later_old_weight: float) -> int:
    """Return how many streams are resumed at another service than began them."""
    first, other = Router(SEED, old_weight), Router(SEED + 1, later_old_weight)
    return sum(
        first.service_of(f"a-{number}")
        != other.service_of(f"b-{number}", resumes=f"a-{number}")
        for number in range(STREAMS)
    )


class SplitRouteTests(unittest.TestCase):
    """Two routers and callers that resume streams."""

    def test_streams_are_resumed_at_the_service_that_began_them(self) -> None:
        """Guards against a stream that another service goes on with."""
        self.assertEqual(moved_streams(50.0, 50.0), 0)

    def test_a_change_of_weights_moves_no_more_streams_than_it_must(self) -> None:
        """Guards against splits whose streams change places with each other."""
        share = moved_streams(50.0, 75.0) / STREAMS
        self.assertAlmostEqual(share, 0.25, delta=0.07)

    def test_new_streams_follow_the_weights(self) -> None:
        """Guards against a split that depends on what callers have sent before."""
        router = Router(SEED, 90.0)
        drawn = [router.service_of(f"a-{number}") for number in range(STREAMS)]
        self.assertAlmostEqual(drawn.count("new") / STREAMS, 0.1, delta=0.05)


if __name__ == "__main__":
    unittest.main()
