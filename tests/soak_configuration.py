"""Configurations of the soak test, which change in every respect."""

from __future__ import annotations

import copy
import random
from typing import Any

from tests.platform_fleet import CONFIGURATION

__all__ = ["KEY", "SPARE_SERVICE", "SoakConfiguration"]

#: Key that stays valid.
KEY = "key-1"

#: Service to which a part of the plain requests goes.
SPARE_SERVICE = "spare"

_TIME_OUTS_MS = (1500, 2500, 4000)
_IDLE_LIMITS_MS = (1500, 2500, 4000, 8000)
_HEAD_LIMITS_MS = (1000, 3000)
_BODY_LIMITS_BYTES = (4096, 65536, 4194304)
_WEIGHTS = (0, 1, 3)
_PREPAID_STEP = 20_000


class SoakConfiguration:
    """Build configurations, each newer than the one before.

    :ivar document: the newest configuration.
    """

    def __init__(self, prepaid: int, rng: random.Random) -> None:
        self.prepaid = prepaid
        self._rng = rng
        self.document: dict[str, Any] = copy.deepcopy(CONFIGURATION)
        self.document["Services"].append({"Name": SPARE_SERVICE})
        self.settle()

    @property
    def idle_limit_s(self) -> float:
        """Return how long connections may be idle."""
        return float(self.document["Limits"]["IdleTimeoutMs"]) / 1000.0

    @property
    def time_outs_s(self) -> dict[str, float]:
        """Return the time-out of each route."""
        return {
            route["Name"]: route["TimeoutMs"] / 1000.0
            for route in self.document["Routes"]
        }

    @property
    def keys(self) -> list[str]:
        """Return the valid keys."""
        return list(self.document["Tenants"][0]["ApiKeys"])

    def settle(self) -> None:
        """Return to the values with which the fleet recovers after faults."""
        routes = copy.deepcopy(CONFIGURATION["Routes"])
        account = {"Name": "hotel", "ApiKeys": [KEY], "Prepaid": self.prepaid}
        limits = {"IdleTimeoutMs": 4000, "HeaderTimeoutMs": 3000}
        self.document.update(Routes=routes, Tenants=[account], Limits=limits)
        self._count()

    def change(self) -> None:
        """Change one respect at random."""
        self._rng.choice(
            [self._change_limits, self._change_time_out, self._change_split]
            + [self._change_routes, self._change_keys, self._add_prepaid]
        )()
        self._count()

    def _count(self) -> None:
        self.document["Version"] += self._rng.randrange(1, 5)

    def _change_limits(self) -> None:
        self.document["Limits"] = {
            "IdleTimeoutMs": self._rng.choice(_IDLE_LIMITS_MS),
            "HeaderTimeoutMs": self._rng.choice(_HEAD_LIMITS_MS),
            "MaxBodyBytes": self._rng.choice(_BODY_LIMITS_BYTES),
        }

    def _change_time_out(self) -> None:
        route = self._rng.choice(self.document["Routes"])
        route["TimeoutMs"] = self._rng.choice(_TIME_OUTS_MS)

    def _change_split(self) -> None:
        names = ("print", "notice")
        routes = [entry for entry in self.document["Routes"] if entry["Name"] in names]
        self._rng.choice(routes)["TrafficSplit"] = [
            {"Service": "plain", "Weight": 1},
            {"Service": SPARE_SERVICE, "Weight": self._rng.choice(_WEIGHTS)},
        ]

    def _change_routes(self) -> None:
        """Remove the extra route, or add it."""
        routes = self.document["Routes"]
        kept = [route for route in routes if route["Name"] != "extra"]
        if len(kept) == len(routes):
            notice = next(route for route in routes if route["Name"] == "notice")
            kept.append({**notice, "Name": "extra", "Prefix": "/extra/"})
        self.document["Routes"] = kept

    def _change_keys(self) -> None:
        """Remove the second key, or add it."""
        keys = [KEY] if len(self.keys) > 1 else [KEY, "key-2"]
        self.document["Tenants"][0]["ApiKeys"] = keys

    def _add_prepaid(self) -> None:
        self.prepaid += _PREPAID_STEP
        self.document["Tenants"][0]["Prepaid"] = self.prepaid
