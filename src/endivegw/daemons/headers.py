"""The header of each message between processes, written and read."""

from __future__ import annotations

from typing import Callable, Protocol

from attrs import frozen

from endivegw.peers._generated import endivegw_peers_pb2 as pb
from endivegw.settings import Address
from endivegw.types import AvailabilityZone, ConfigRevision, InstanceId

__all__ = [
    "HasRevision",
    "PROTOCOL_VERSION",
    "ProcessIdentity",
    "Sender",
    "header_writer",
    "sender_of",
]

#: Version of the messages between the fleet's processes that this program writes.
PROTOCOL_VERSION = 1


@frozen
class ProcessIdentity:
    """Say who a process of the fleet is.

    :param role: ``router`` or ``target``, as the platform's list says.
    :param address: where it takes its peers' calls.
    """

    instance_id: InstanceId
    vm: str
    role: str
    availability_zone: AvailabilityZone
    address: Address


@frozen
class Sender:
    """Hold who sent a message, and which configuration it has."""

    instance_id: InstanceId
    vm: str
    role: str
    availability_zone: AvailabilityZone
    address: str
    config_revision: ConfigRevision


class HasRevision(Protocol):
    """What knows which configuration this process announces."""

    @property
    def revision(self) -> ConfigRevision:
        """Return the announced revision; 0 from a process that may not serve."""


def header_writer(
    identity: ProcessIdentity,
    configuration: HasRevision,
    grant_holder: Callable[[], str] = str,
) -> Callable[[], pb.Header]:
    """Return what makes the header of each message of a process.

    :param grant_holder: returns the name under which this process draws grants,
        "" before it has drawn one.
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


def sender_of(header: pb.Header) -> Sender:
    """Return who sent a message."""
    return Sender(
        instance_id=InstanceId(header.instance_id),
        vm=header.vm,
        role=header.role,
        availability_zone=AvailabilityZone(header.availability_zone),
        address=header.address,
        config_revision=ConfigRevision(header.config_revision),
    )
