"""Actions that the scheduler requests to update or store the configuration."""

from __future__ import annotations

from attrs import frozen

from endivegw.types import ConfigRevision, InstanceId

__all__ = [
    "Action",
    "PullFromPeer",
    "ReadAllDocuments",
    "ReadChanges",
    "ReadObject",
    "WriteObject",
    "WriteReport",
]


@frozen
class ReadChanges:
    """Read the changes after a revision from the table; usually there are none."""

    after: ConfigRevision


@frozen
class ReadAllDocuments:
    """Read all documents from the table, if the changes are not sufficient."""


@frozen
class PullFromPeer:
    """Request the changes after a revision from a peer."""

    peer: InstanceId
    have: ConfigRevision


@frozen
class ReadObject:
    """Read the configuration from the object store if its revision is newer."""


@frozen
class WriteObject:
    """Write the configuration to the object store unless it has a newer one."""


@frozen
class WriteReport:
    """Write an adoption report with the revisions of this process and its peers."""


Action = (
    ReadChanges
    | ReadAllDocuments
    | PullFromPeer
    | ReadObject
    | WriteObject
    | WriteReport
)
