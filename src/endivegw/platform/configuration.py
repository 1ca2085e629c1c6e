"""Decode the operator's configuration and the targets' entries."""

from __future__ import annotations

import ipaddress
import json
from typing import Any, Iterable, Mapping

from endivegw.routing import (
    CallerLimits,
    ClientAccount,
    DirectTarget,
    FleetConfiguration,
    Route,
    RouteKind,
    ServiceKind,
    WeightedService,
)
from endivegw.types import AvailabilityZone, ClientAccountName, InstanceId

__all__ = [
    "CONFIGURATION_KEY",
    "CONFIGURATION_TABLE",
    "TARGETS_TABLE",
    "DecodeError",
    "decode_configuration",
    "decode_target",
]

#: The operator's table, and the row with the newest configuration.
CONFIGURATION_TABLE = "op"
CONFIGURATION_KEY = "config"

#: Where targets register themselves, each under the id of its incarnation.
TARGETS_TABLE = "servers"


#: States that a target may be registered with.
_STATES = frozenset({"ready", "draining"})

#: The most slots of one target; an engine's batch has hundreds. A figure beyond it
#: would be no count, and arithmetic with it could overflow.
_MOST_SLOTS = 1_000_000

#: What reading bytes of any content may raise, nested without end or with numbers
#: that no type holds.
_UNREADABLE = (
    ValueError,
    TypeError,
    KeyError,
    AttributeError,
    OverflowError,
    RecursionError,
)


class DecodeError(ValueError):
    """Say that a row of the operator or of a target cannot be understood."""


def decode_configuration(value: bytes) -> FleetConfiguration:
    """Return a configuration; :exc:`DecodeError` where it is not one."""
    try:
        document = json.loads(value)
        services = document.get("Services") or ()
        return FleetConfiguration(
            version=int(document["Version"]),
            routes=tuple(_route(route) for route in document.get("Routes") or ()),
            services={service["Name"]: _service_kind(service) for service in services},
            accounts=tuple(_account(entry) for entry in document.get("Tenants") or ()),
            limits=_limits(document.get("Limits") or {}),
            tokens_per_event=max(
                (
                    int((entry.get("Engine") or {}).get("Stride", 1))
                    for entry in services
                ),
                default=1,
            ),
            copy_s_per_token=_copy_times(services),
        )
    except _UNREADABLE as error:
        raise DecodeError(f"not a configuration: {error!r}") from error


def decode_target(key: str, value: bytes) -> DirectTarget:
    """Return a target's entry; :exc:`DecodeError` where it is not one.

    :param key: the row's key, which is the only place of the instance's id.
    """
    try:
        return _target(InstanceId(key), json.loads(value))
    except _UNREADABLE as error:
        raise DecodeError(f"not an entry of a target: {error!r}") from error


def _target(instance_id: InstanceId, entry: Any) -> DirectTarget:
    """Return a target; an error where a field is missing or of another type.

    Others than targets may write entries. One that was read generously, a number as
    text for a number, would send callers to an address where no target is.
    """
    _text(entry, "Version")
    _whole(entry, "Sequence")
    _number(entry, "ColdRemainingMs")
    state = _text(entry, "State")
    if state not in _STATES:
        raise DecodeError(f"unknown state {state!r}")
    slots = _whole(entry, "Slots")
    if not 1 <= slots <= _MOST_SLOTS:
        raise DecodeError(f"{slots} slots")
    return DirectTarget(
        instance_id=instance_id,
        service=_text(entry, "Service"),
        address=_address(_text(entry, "Address")),
        availability_zone=AvailabilityZone(_text(entry, "Zone")),
        slots=slots,
        leaving=state == "draining",
        # The name is that of a birth; it is the start of this incarnation.
        started_ms=_whole(entry, "born") if "born" in entry else None,
    )


def _text(entry: Mapping[str, Any], name: str) -> str:
    value = entry[name]
    if not isinstance(value, str) or not value:
        raise DecodeError(f"{name} is not a text: {value!r:.40}")
    return value


def _whole(entry: Mapping[str, Any], name: str) -> int:
    value = entry[name]
    # True and False are whole numbers for Python, and not for the writer.
    if not isinstance(value, int) or isinstance(value, bool) or value < 0:
        raise DecodeError(f"{name} is not a whole number: {value!r:.40}")
    return value


def _number(entry: Mapping[str, Any], name: str) -> float:
    value = entry[name]
    if isinstance(value, bool) or not isinstance(value, (int, float)):
        raise DecodeError(f"{name} is not a number: {value!r:.40}")
    return float(value)


def _address(value: str) -> str:
    """Return an address that a connection can be opened to."""
    host, _, port = value.rpartition(":")
    ipaddress.IPv4Address(host)
    if not port.isascii() or not port.isdigit() or not 0 < int(port) < 65536:
        raise DecodeError(f"no port in {value!r:.60}")
    return value


def _route(entry: Mapping[str, Any]) -> Route:
    split = entry.get("TrafficSplit")
    if split:
        services = tuple(
            WeightedService(str(share["Service"]), float(share["Weight"]))
            for share in split
            if float(share["Weight"]) > 0
        )
    else:
        services = (WeightedService(str(entry["Service"]), 1.0),)
    pause_ms = entry.get("GapTargetMs")
    return Route(
        name=str(entry["Name"]),
        host=str(entry["Host"]).lower(),
        prefix=str(entry["Prefix"]),
        kind=_route_kind(entry),
        services=services,
        timeout_s=float(entry["TimeoutMs"]) / 1000.0,
        objective_s=float(entry["TargetLatencyMs"]) / 1000.0,
        priority=int(entry.get("Priority", 0)),
        # The name speaks of attempts; it bounds the targets of one request.
        max_targets=max(1, int(entry.get("MaxAttempts", 1))),
        public=bool(entry.get("Public", False)),
        pause_objective_s=None if pause_ms is None else float(pause_ms) / 1000.0,
    )


def _route_kind(entry: Mapping[str, Any]) -> RouteKind:
    match entry["Kind"]:
        case "safe":
            return RouteKind.REPEATABLE
        case "unsafe":
            return RouteKind.AT_MOST_ONCE
        case "streaming" if entry.get("Resumable"):
            return RouteKind.RESUMABLE_STREAM
        case "streaming":
            return RouteKind.STREAM
        case kind:
            raise DecodeError(f"unknown kind of route {kind!r}")


def _service_kind(entry: Mapping[str, Any]) -> ServiceKind:
    return ServiceKind.ENGINE if entry.get("Engine") else ServiceKind.PLAIN


def _copy_times(services: Iterable[Mapping[str, Any]]) -> dict[str, float]:
    """Return how long targets copy a cached token, by service of engines."""
    found = {}
    for service in services:
        engine = service.get("Engine") or {}
        token_bytes = float(engine.get("KvTokenBytes") or 0)
        link_mbps = float(engine.get("LinkMbps") or 0)
        if token_bytes > 0 and link_mbps > 0:
            found[str(service["Name"])] = token_bytes * 8 / (link_mbps * 1e6)
    return found


def _account(entry: Mapping[str, Any]) -> ClientAccount:
    prepaid = entry.get("Prepaid")
    priority = entry.get("Priority")
    return ClientAccount(
        name=ClientAccountName(str(entry["Name"])),
        keys=frozenset(str(key) for key in entry.get("ApiKeys") or ()),
        priority=None if priority is None else int(priority),
        prepaid_tokens=None if prepaid is None else int(prepaid),
    )


def _limits(entry: Mapping[str, Any]) -> CallerLimits:
    usual = CallerLimits()
    return CallerLimits(
        head_bytes=int(entry.get("MaxHeaderBytes", usual.head_bytes)),
        body_bytes=int(entry.get("MaxBodyBytes", usual.body_bytes)),
        head_timeout_s=entry.get("HeaderTimeoutMs", usual.head_timeout_s * 1e3) / 1e3,
        idle_timeout_s=entry.get("IdleTimeoutMs", usual.idle_timeout_s * 1e3) / 1e3,
    )
