"""What a process may be told to do for its configuration."""

from __future__ import annotations

from attrs import frozen

from endivegw.types import ConfigRevision, InstanceId

__all__ = [
    "Action",
    "PullPeer",
    "ReadAllFromTable",
    "ReadChanges",
    "ReadObject",
    "Report",
    "WriteObject",
]


@frozen
class ReadChanges:
    """Ask the table for the changes behind a revision; most often there are none."""

    after: ConfigRevision


@frozen
class ReadAllFromTable:
    """Ask the table for all documents, where changes do not suffice."""


@frozen
class PullPeer:
    """Ask a peer for what it has beyond a revision."""

    peer: InstanceId
    have: ConfigRevision


@frozen
class ReadObject:
    """Look whether the object store has a newer revision, and take it."""


@frozen
class WriteObject:
    """Put the configuration into the object store, unless a newer one is there."""


@frozen
class Report:
    """Write down which revision this process and its peers have."""


Action = ReadChanges | ReadAllFromTable | PullPeer | ReadObject | WriteObject | Report
