"""The datagrams between routers."""

from __future__ import annotations

from attrs import field, frozen

from endivegw.allowances.witnesses import Statement
from endivegw.capacity import Headroom
from endivegw.decisions import LocalLoad, Permits
from endivegw.quarantine import Evidence
from endivegw.routing import LimitReport, ZoneChange
from endivegw.streams import SoleVersion, StreamKey, StreamRecord, VersionSeen
from endivegw.types import (
    ClientAccountName,
    InstanceId,
    TargetName,
    TargetStart,
    TransferId,
)

__all__ = [
    "Acknowledgement",
    "BroadcastMessage",
    "Limits",
    "LoanRequest",
    "LoanResponse",
    "Message",
    "PeerState",
    "PermitQuery",
    "PermitResponse",
    "PrefixesRead",
    "StatementRequest",
    "StatementResponse",
    "StreamQuery",
    "StreamResponse",
    "StreamsBegun",
    "TargetLeaving",
    "Update",
    "VersionQuery",
    "VersionResponse",
    "Waiver",
]


@frozen
class PeerState:
    """A router's report about itself.

    :param sequence: increases with each report of one instance.
    :param surplus_tokens: its unused tokens by account; only the largest ones if not
        all fit.
    :param load: its load at targets.
    :param interval_s: time until its next report.
    :param headroom: what it can carry beyond its load; None if it states no capacity.
    :param reaches_store: whether the store answers its calls.
    """

    sender: InstanceId
    sequence: int
    surplus_tokens: dict[ClientAccountName, int] = field(factory=dict)
    load: dict[TargetName, LocalLoad] = field(factory=dict)
    interval_s: float = 0.0
    headroom: Headroom | None = None
    reaches_store: bool = True


@frozen
class Limits:
    """A statement of the sender's limits to its witnesses."""

    sender: InstanceId
    statement: Statement


@frozen
class Acknowledgement:
    """Acknowledges that a statement of limits was received."""

    sender: InstanceId
    sequence: int


@frozen
class Waiver:
    """States that the sender of a statement need not wait for this router."""

    sender: InstanceId
    sequence: int


@frozen
class StatementRequest:
    """Asks for the last statement received from a process that has ended."""

    sender: InstanceId
    about: InstanceId


@frozen
class StatementResponse:
    """The last statement received; its sequence is 0 if there is none."""

    sender: InstanceId
    about: InstanceId
    statement: Statement


@frozen
class LoanRequest:
    """Asks a peer for tokens; resent under the same id until it is answered."""

    sender: InstanceId
    transfer_id: TransferId
    client_account: ClientAccountName
    min_tokens: int
    wanted_tokens: int


@frozen
class LoanResponse:
    """Answers a loan request; the tokens have been debited at the sender.

    :param left_tokens: the sender's unused tokens after the loan.
    """

    sender: InstanceId
    transfer_id: TransferId
    tokens: int
    left_tokens: int


@frozen
class PrefixesRead:
    """Reports the prompt prefixes that targets have read for the sender's callers.

    :param prefixes: digests by target.
    """

    sender: InstanceId
    prefixes: dict[TargetName, list[bytes]]


@frozen
class PermitQuery:
    """Asks a target's coordinator for permits to send requests to it.

    :param number: number of the query at its sender.
    :param rate_per_s: the target's limit, as known to the sender.
    """

    sender: InstanceId
    start: TargetStart
    number: int
    rate_per_s: float
    sends: int


@frozen
class PermitResponse:
    """Answers a query for permits."""

    sender: InstanceId
    number: int
    permits: Permits


@frozen
class TargetLeaving:
    """Reports that a start of a target is leaving or has ended.

    The target itself said that it leaves, or another instance answered at its address.
    """

    start: TargetStart


@frozen
class StreamsBegun:
    """Reports which software versions began streams, to a router that keeps this."""

    sender: InstanceId
    records: tuple[StreamRecord, ...]


@frozen
class StreamQuery:
    """Asks a router which software version began a stream.

    :param number: number of the query at its sender.
    """

    sender: InstanceId
    number: int
    key: StreamKey


@frozen
class VersionQuery:
    """Asks a router for the only software version of a service.

    :param number: number of the query at its sender.
    """

    sender: InstanceId
    number: int
    service: str


@frozen
class VersionResponse:
    """Answers a query for the only software version of a service.

    :param number: number of the query at its sender.
    """

    sender: InstanceId
    number: int
    version: SoleVersion


@frozen
class StreamResponse:
    """Answers a query for a stream.

    :param software_version: None if the sender does not know it.
    """

    sender: InstanceId
    number: int
    software_version: str | None


#: An update that all routers need.
Update = Evidence | LimitReport | TargetLeaving | VersionSeen | ZoneChange


@frozen
class BroadcastMessage:
    """An update for all routers, whichever router sends it."""

    sender: InstanceId
    update: Update


Message = (
    PeerState
    | PermitQuery
    | PermitResponse
    | PrefixesRead
    | Limits
    | Acknowledgement
    | Waiver
    | StatementRequest
    | StatementResponse
    | LoanRequest
    | LoanResponse
    | StreamsBegun
    | StreamQuery
    | VersionQuery
    | VersionResponse
    | StreamResponse
    | BroadcastMessage
)
