"""Routes, client accounts and targets that routers call directly."""

from endivegw.routing.evacuations import ZoneChange, ZoneEvacuations
from endivegw.routing.fleet import FleetView
from endivegw.routing.model import (
    CallerLimits,
    ClientAccount,
    DirectTarget,
    FleetConfiguration,
    Route,
    RouteKind,
    ServiceKind,
    WeightedService,
)
from endivegw.routing.table import RoutingTable
from endivegw.routing.target_limits import AppliedLimit, LimitReport, TargetLimits
from endivegw.routing.warm_up_times import WarmUpTimes

__all__ = [
    "AppliedLimit",
    "CallerLimits",
    "ClientAccount",
    "DirectTarget",
    "FleetConfiguration",
    "FleetView",
    "LimitReport",
    "Route",
    "RouteKind",
    "RoutingTable",
    "ServiceKind",
    "TargetLimits",
    "WarmUpTimes",
    "WeightedService",
    "ZoneChange",
    "ZoneEvacuations",
]
