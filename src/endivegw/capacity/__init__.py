"""What a router's machine can carry, and decisions from that."""

from endivegw.capacity.connection_limit import ConnectionLimit, ConnectionState
from endivegw.capacity.gate import CapacityGate
from endivegw.capacity.gave_way import GaveWay, GaveWayCounter
from endivegw.capacity.held_memory import HeldMemory, HeldShare, Holder
from endivegw.capacity.model import (
    DEFAULT_TOTAL_SHARE,
    Headroom,
    LoadSample,
    RequestNeed,
    RouterCapacity,
)
from endivegw.capacity.rotation import Rotation, ZoneRouter, has_room
from endivegw.capacity.sizes import AnswerSize, RequestSizes

__all__ = [
    "DEFAULT_TOTAL_SHARE",
    "AnswerSize",
    "CapacityGate",
    "ConnectionLimit",
    "ConnectionState",
    "GaveWay",
    "GaveWayCounter",
    "Headroom",
    "HeldMemory",
    "HeldShare",
    "Holder",
    "LoadSample",
    "RequestNeed",
    "RequestSizes",
    "Rotation",
    "RouterCapacity",
    "ZoneRouter",
    "has_room",
]
