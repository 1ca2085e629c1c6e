"""Routes, client accounts and the view of registered targets."""

from __future__ import annotations

import random
import unittest

from endivegw.routing import (
    ClientAccount,
    DirectTarget,
    FleetConfiguration,
    FleetView,
    Route,
    RouteKind,
    RoutingTable,
    ServiceKind,
    WeightedService,
)
from endivegw.types import AvailabilityZone, ClientAccountName, InstanceId


def route(prefix: str, *services: WeightedService) -> Route:
    """Return a route of the test host."""
    shares = services or (WeightedService("lobby", 1.0),)
    return Route(prefix, "h.example", prefix, RouteKind.REPEATABLE, shares, 2, 1, 0)


def target(name: str, leaving: bool = False) -> DirectTarget:
    """Return a target of the test service."""
    zone = AvailabilityZone("z")
    return DirectTarget(InstanceId(name), "lobby", "10.0.0.1:80", zone, 4, leaving)


class TableTests(unittest.TestCase):
    """Look up of routes and client accounts."""

    def setUp(self) -> None:
        account = ClientAccount(
            ClientAccountName("hotel"), frozenset({"k1", "k2"}), 1, 500
        )
        split = (WeightedService("old", 90.0), WeightedService("new", 10.0))
        self.table = RoutingTable(
            FleetConfiguration(
                7,
                (route("/a/"), route("/a/b/"), route("/s/", *split)),
                {"old": ServiceKind.ENGINE},
                (account,),
            )
        )

    def test_the_longest_prefix_wins(self) -> None:
        """A path matches the most specific route, and only at slashes."""
        for path, found in {
            "/a/x": "/a/",
            "/a/b/x/y": "/a/b/",
            "/a/b": "/a/",
            "/a/bc/": "/a/",
            "/a": None,
            "/": None,
            "": None,
        }.items():
            got = self.table.route("h.example", path)
            self.assertEqual(got.prefix if got else None, found, path)
        self.assertIsNone(self.table.route("other.example", "/a/x"))

    def test_a_split_follows_its_weights(self) -> None:
        """About a tenth of the requests goes to the service with weight 10."""
        found = self.table.route("h.example", "/s/")
        assert found is not None
        rng = random.Random(1)
        drawn = [self.table.service(found, rng) for _ in range(2000)]
        self.assertAlmostEqual(drawn.count("new") / 2000, 0.1, delta=0.03)

    def test_any_key_of_an_account(self) -> None:
        """Any of an account's keys identifies it; other keys identify none."""
        for key in ("k1", "k2"):
            account = self.table.account(key)
            assert account is not None
            self.assertEqual(account.name, "hotel")
        self.assertIsNone(self.table.account("k3"))


class FleetViewTests(unittest.TestCase):
    """The view of the targets through an outage of their registry."""

    def test_a_removed_entry_is_dropped(self) -> None:
        """While the registry responds, a removed target gets no more requests."""
        view = FleetView()
        view.put(target("a"))
        view.on_registry_response(1.0)
        view.remove(InstanceId("a"), 1.0)
        self.assertEqual(view.targets, {})

    def test_entries_that_expired_in_an_outage_are_kept(self) -> None:
        """Targets could not renew their entries during an outage of the registry.

        A router that applied the first listing at once would refuse every request
        although all targets run; one that never applied it would send requests to
        terminated targets.
        """
        view = FleetView()
        view.replace([target("a"), target("b")], 1.0)
        view.on_registry_unavailable()
        view.on_registry_response(9.0)
        view.replace([], 9.1)
        self.assertEqual(len(view.targets), 2)
        view.put(target("a"))
        self.assertFalse(view.expire_missing(10.0))
        self.assertTrue(view.expire_missing(11.0))
        self.assertEqual(list(view.targets), ["a"])
