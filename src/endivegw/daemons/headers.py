"""Build and parse the header of the messages between the fleet's processes."""

from __future__ import annotations

from typing import Callable, Protocol

from attrs import frozen

from endivegw.peers._generated import endivegw_peers_pb2 as pb
from endivegw.settings import Address
from endivegw.types import AvailabilityZone, ConfigRevision, InstanceId

__all__ = [
    "RevisionSource",
    "PROTOCOL_VERSION",
    "ProcessIdentity",
    "Sender",
    "header_factory",
    "parse_sender",
]

#: Protocol version that this program announces in its messages.
PROTOCOL_VERSION = 1


@frozen
class ProcessIdentity:
    """Identify a process of the fleet.

    :param role: ``router`` or ``target``, as in the platform's vm list.
    :param address: address at which the process accepts calls from its peers.
    """

    instance_id: InstanceId
    vm: str
    role: str
    availability_zone: AvailabilityZone
    address: Address


@frozen
class Sender:
    """Hold the identity of a message's sender and its configuration revision."""

    instance_id: InstanceId
    vm: str
    role: str
    availability_zone: AvailabilityZone
    address: str
    config_revision: ConfigRevision


class RevisionSource(Protocol):
    """Provide the configuration revision that this process announces."""

    @property
    def revision(self) -> ConfigRevision:
        """Return the announced revision; 0 if this process may not serve."""


def header_factory(
    identity: ProcessIdentity,
    configuration: RevisionSource,
    grant_holder: Callable[[], str] = str,
) -> Callable[[], pb.Header]:
    """Return a function that builds the header of a process's messages.

    :param grant_holder: returns the name under which this process draws grants,
        "" before the first draw.
    """

    def header() -> pb.Header:
        return pb.Header(
            protocol_version=PROTOCOL_VERSION,
            instance_id=identity.instance_id,
            availability_zone=identity.availability_zone,
            config_revision=configuration.revision,
            vm=identity.vm,
            role=identity.role,
            address=str(identity.address),
            grant_holder=grant_holder(),
        )

    return header


def parse_sender(header: pb.Header) -> Sender:
    """Return the sender of a message."""
    return Sender(
        instance_id=InstanceId(header.instance_id),
        vm=header.vm,
        role=header.role,
        availability_zone=AvailabilityZone(header.availability_zone),
        address=header.address,
        config_revision=ConfigRevision(header.config_revision),
    )
