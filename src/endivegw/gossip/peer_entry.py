"""The row by which a router makes itself known to the others."""

from __future__ import annotations

import json

from attrs import frozen

from endivegw.documents import (
    decoding,
    parse_document,
    read_ip,
    read_name,
    read_port,
    read_text,
)
from endivegw.types import AvailabilityZone, InstanceId

__all__ = ["PEERS_TABLE", "PeerEntry"]

#: One row per router, keyed by vm.
PEERS_TABLE = "router-addresses"


@frozen
class PeerEntry:
    """A router's address, as registered by the router itself."""

    vm: str
    instance_id: InstanceId
    host: str
    port: int
    availability_zone: AvailabilityZone = AvailabilityZone("")

    def encode(self) -> bytes:
        """Return the value of the router's row."""
        document = {
            "instance": self.instance_id,
            "host": self.host,
            "port": self.port,
            "availability_zone": self.availability_zone,
        }
        return json.dumps(document).encode()

    @classmethod
    def decode(cls, vm: str, value: bytes) -> PeerEntry:
        """Decode a row.

        :raises DocumentError: if the value is malformed, or nothing can be sent to the
            address.
        """
        with decoding("row of a router"):
            document = parse_document(value)
            return cls(
                read_name(vm),
                InstanceId(read_name(document["instance"])),
                read_ip(document["host"]),
                read_port(document["port"]),
                AvailabilityZone(read_text(document.get("availability_zone", ""))),
            )
