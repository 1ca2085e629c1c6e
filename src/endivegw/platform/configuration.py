"""Decode the operator's configuration and the targets' entries."""

from __future__ import annotations

import hashlib
import ipaddress
from typing import Any, Iterable, Mapping

from endivegw.decisions import WarmUpLimits
from endivegw.documents import (
    DocumentError,
    decoding,
    parse_document,
    read_count,
    read_name,
    read_port,
)
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
    "EVACUATION_KEY_PREFIX",
    "TARGETS_TABLE",
    "DecodeError",
    "decode_configuration",
    "decode_evacuation",
    "decode_target",
]

#: The operator's table, and the key of the row with the newest configuration.
CONFIGURATION_TABLE = "op"
CONFIGURATION_KEY = "config"

#: Beginning of the keys in the operator's table that name evacuated zones.
EVACUATION_KEY_PREFIX = "evacuate/"

#: Table in which targets register themselves, each under the id of its incarnation.
TARGETS_TABLE = "servers"


#: States in which a target may be registered.
_STATES = frozenset({"ready", "draining"})

#: Maximum number of slots of one target; an engine's batch has hundreds. A larger value
#: cannot be a valid count, and arithmetic with it could overflow.
_MAX_SLOTS = 1_000_000

#: Longest warm-up that a target may register; starts take seconds. A larger value is
#: not a duration, for example a point in time.
_MAX_WARM_UP_MS = 3_600_000.0

#: Longest software version that is kept as it is.
_MAX_VERSION_BYTES = 64


class DecodeError(DocumentError):
    """Raised if a row of the operator or of a target cannot be decoded."""


def decode_configuration(value: bytes) -> FleetConfiguration:
    """Decode a configuration.

    :raises DecodeError: if the row is not a valid configuration.
    """
    with decoding("configuration row", DecodeError):
        document = parse_document(value)
        services = document.get("Services") or ()
        return FleetConfiguration(
            version=int(document["Version"]),
            routes=tuple(
                _decode_route(route) for route in document.get("Routes") or ()
            ),
            services={service["Name"]: _service_kind(service) for service in services},
            accounts=tuple(
                _decode_account(entry) for entry in document.get("Tenants") or ()
            ),
            limits=_caller_limits(document.get("Limits") or {}),
            tokens_per_event=max(
                (
                    int((entry.get("Engine") or {}).get("Stride", 1))
                    for entry in services
                ),
                default=1,
            ),
            copy_s_per_token=_copy_s_per_token(services),
            warm_ups=_warm_ups(services),
        )


def decode_target(key: str, value: bytes) -> DirectTarget:
    """Decode a target's entry.

    :param key: the row's key, which alone holds the id of the instance.
    :raises DecodeError: if the row is not a valid entry of a target.
    """
    with decoding("target entry", DecodeError):
        return _decode_entry(InstanceId(read_name(key)), parse_document(value))


def decode_evacuation(key: str) -> AvailabilityZone | None:
    """Return the zone that a row of the operator's table evacuates, or None.

    The row's existence is the request; its value has no content.
    """
    if not key.startswith(EVACUATION_KEY_PREFIX):
        return None
    return AvailabilityZone(key.removeprefix(EVACUATION_KEY_PREFIX))


def _decode_entry(instance_id: InstanceId, entry: Any) -> DirectTarget:
    """Return a target; raise an error if a field is missing or of another type.

    Processes other than targets may write entries too. Lenient decoding, for example
    of a number that is given as text, would send callers to an address without a
    target.
    """
    read_count(entry["Sequence"])
    state = entry["State"]
    if state not in _STATES:
        raise DecodeError(f"unknown target state {state!r:.40}")
    slots = read_count(entry["Slots"])
    if not 1 <= slots <= _MAX_SLOTS:
        raise DecodeError(f"Slots is {slots}, not between 1 and {_MAX_SLOTS}")
    return DirectTarget(
        instance_id=instance_id,
        service=read_name(entry["Service"]),
        address=_check_address(read_name(entry["Address"])),
        availability_zone=AvailabilityZone(read_name(entry["Zone"])),
        slots=slots,
        leaving=state == "draining",
        # The field "born" holds the start time of this incarnation.
        started_ms=read_count(entry["born"]) if "born" in entry else None,
        warm_up_s=_read_warm_up_s(entry),
        software_version=_read_version(entry),
    )


def _read_version(entry: Mapping[str, Any]) -> str:
    """Return a version, or a digest of one that is too long for datagrams."""
    version = entry["Version"]
    if not isinstance(version, str) or not version:
        raise DecodeError(f"Version is not a non-empty string: {version!r:.40}")
    encoded = version.encode()
    if len(encoded) <= _MAX_VERSION_BYTES:
        return read_name(version)
    return hashlib.blake2b(encoded, digest_size=_MAX_VERSION_BYTES // 2).hexdigest()


def _read_number(entry: Mapping[str, Any], name: str) -> float:
    value = entry[name]
    if isinstance(value, bool) or not isinstance(value, (int, float)):
        raise DecodeError(f"{name} is not a number: {value!r:.40}")
    return float(value)


def _read_warm_up_s(entry: Mapping[str, Any]) -> float:
    """Return how long the target warms up; 0 if that time is over."""
    remaining_ms = _read_number(entry, "ColdRemainingMs")
    if remaining_ms > _MAX_WARM_UP_MS:
        raise DecodeError(
            f"ColdRemainingMs is {remaining_ms:g}, the limit is {_MAX_WARM_UP_MS:g}"
        )
    return max(0.0, remaining_ms / 1000.0)


def _check_address(value: str) -> str:
    """Check that a connection can be opened to an address and return it."""
    host, _, port = value.rpartition(":")
    ipaddress.IPv4Address(host)
    if not port.isascii() or not port.isdigit():
        raise DecodeError(f"no valid port in address {value!r:.60}")
    read_port(int(port))
    return value


def _decode_route(entry: Mapping[str, Any]) -> Route:
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
        # Despite its name, MaxAttempts limits the number of targets of one request.
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
            raise DecodeError(f"unknown route kind {kind!r}")


def _service_kind(entry: Mapping[str, Any]) -> ServiceKind:
    return ServiceKind.ENGINE if entry.get("Engine") else ServiceKind.PLAIN


def _copy_s_per_token(services: Iterable[Mapping[str, Any]]) -> dict[str, float]:
    """Return the time that copying one cached token takes, by engine service."""
    found = {}
    for service in services:
        engine = service.get("Engine") or {}
        token_bytes = float(engine.get("KvTokenBytes") or 0)
        link_mbps = float(engine.get("LinkMbps") or 0)
        if token_bytes > 0 and link_mbps > 0:
            found[str(service["Name"])] = token_bytes * 8 / (link_mbps * 1e6)
    return found


def _warm_ups(services: Iterable[Mapping[str, Any]]) -> dict[str, WarmUpLimits]:
    """Return how the targets of each service warm up."""
    found = {}
    for service in services:
        rate_per_s = float(service.get("ColdPerS") or 0)
        if rate_per_s > 0:
            duration_s = float(service.get("ColdStartS") or 0)
            found[str(service["Name"])] = WarmUpLimits(duration_s, rate_per_s)
    return found


def _decode_account(entry: Mapping[str, Any]) -> ClientAccount:
    prepaid = entry.get("Prepaid")
    priority = entry.get("Priority")
    return ClientAccount(
        name=ClientAccountName(str(entry["Name"])),
        keys=frozenset(str(key) for key in entry.get("ApiKeys") or ()),
        priority=None if priority is None else int(priority),
        prepaid_tokens=None if prepaid is None else int(prepaid),
    )


def _caller_limits(entry: Mapping[str, Any]) -> CallerLimits:
    defaults = CallerLimits()
    return CallerLimits(
        head_bytes=int(entry.get("MaxHeaderBytes", defaults.head_bytes)),
        body_bytes=int(entry.get("MaxBodyBytes", defaults.body_bytes)),
        head_timeout_s=entry.get("HeaderTimeoutMs", defaults.head_timeout_s * 1e3)
        / 1e3,
        idle_timeout_s=entry.get("IdleTimeoutMs", defaults.idle_timeout_s * 1e3) / 1e3,
    )
