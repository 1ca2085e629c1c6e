"""Encoding of the datagrams between routers.

Datagrams are used instead of streams: a stream between two machines can stall
indefinitely without a reset, while the content of a datagram is either soon out of
date or resent under the same id.
"""

from __future__ import annotations

import json
import math
from typing import Any, Iterable

from attrs import astuple, evolve

from endivegw.allowances.witnesses import Statement
from endivegw.capacity import Headroom
from endivegw.decisions import LocalLoad, Permits
from endivegw.gossip.message_types import (
    Acknowledgement,
    BroadcastMessage,
    Limits,
    LoanRequest,
    LoanResponse,
    Message,
    PeerState,
    PermitQuery,
    PermitResponse,
    PrefixesRead,
    StatementRequest,
    StatementResponse,
    StreamQuery,
    StreamResponse,
    StreamsBegun,
    TargetLeaving,
    Update,
    VersionQuery,
    VersionResponse,
    Waiver,
)
from endivegw.quarantine import (
    Fingerprint,
    RequestRecord,
    TargetTerminated,
    decode_starts,
    encode_starts,
)
from endivegw.routing import LimitReport, ZoneChange
from endivegw.streams import SoleVersion, StreamKey, StreamRecord, VersionSeen
from endivegw.types import (
    AvailabilityZone,
    ClientAccountName,
    InstanceId,
    TargetName,
    TransferId,
)

__all__ = [
    "Acknowledgement",
    "BroadcastMessage",
    "decode",
    "encode",
    "Limits",
    "LoanRequest",
    "LoanResponse",
    "MAX_DATAGRAM_BYTES",
    "Message",
    "PeerState",
    "PermitQuery",
    "PermitResponse",
    "prefix_datagrams",
    "PrefixesRead",
    "shortened",
    "StatementRequest",
    "StatementResponse",
    "stream_datagrams",
    "StreamQuery",
    "StreamResponse",
    "StreamsBegun",
    "TargetLeaving",
    "Update",
    "VersionQuery",
    "VersionResponse",
    "Waiver",
]

#: Maximum size of a datagram. Larger ones would be fragmented, and the loss of one
#: fragment loses the whole datagram.
MAX_DATAGRAM_BYTES = 1400

#: Upper bound of the JSON overhead of one prefix and its target, including a share of
#: the message header.
_ENTRY_OVERHEAD_BYTES = 16


def encode(message: Message) -> bytes:
    """Return a message as one datagram."""
    match message:
        case PeerState():
            document: list[Any] = [
                "state",
                message.sender,
                message.sequence,
                message.surplus_tokens,
                {
                    target: [load.running, load.unread_tokens]
                    for target, load in message.load.items()
                },
                round(message.interval_s, 3),
            ]
            if message.headroom is not None or not message.reaches_store:
                document.append(_encode_headroom(message.headroom))
            if not message.reaches_store:
                document.append(False)
        case PrefixesRead(sender, prefixes):
            encoded = {
                target: [digest.decode("latin-1") for digest in digests]
                for target, digests in prefixes.items()
            }
            document = ["read", sender, encoded]
        case Limits(sender, statement):
            document = ["limits", sender, *_encode_statement(statement)]
        case Acknowledgement(sender, sequence):
            document = ["heard", sender, sequence]
        case Waiver(sender, sequence):
            document = ["waived", sender, sequence]
        case StatementRequest(sender, about):
            document = ["inquiry", sender, about]
        case StatementResponse(sender, about, statement):
            document = ["testimony", sender, about, *_encode_statement(statement)]
            if math.isfinite(statement.waived_ms):
                # A reader that does not know of waivers must not use the statement.
                document.append(int(statement.waived_ms))
        case LoanRequest():
            document = [
                "ask",
                message.sender,
                message.transfer_id,
                message.client_account,
                message.min_tokens,
                message.wanted_tokens,
            ]
        case LoanResponse():
            document = [
                "offer",
                message.sender,
                message.transfer_id,
                message.tokens,
                message.left_tokens,
            ]
        case PermitQuery(sender, start, number, rate_per_s, sends):
            pair = [start.instance_id, start.started_ms]
            document = ["permit", sender, pair, number, rate_per_s, sends]
        case PermitResponse(sender, number, permits):
            document = ["permitted", sender, number, *astuple(permits)]
        case BroadcastMessage(sender, LimitReport(start, limit_per_s, version)):
            pair = [start.instance_id, start.started_ms]
            document = ["limit", sender, pair, limit_per_s, version]
        case BroadcastMessage(sender, TargetLeaving(start)):
            document = ["leaving", sender, [start.instance_id, start.started_ms]]
        case StreamsBegun(sender, records):
            document = ["began", sender, [list(astuple(record)) for record in records]]
        case StreamQuery(sender, number, key):
            document = ["stream", sender, number, key]
        case VersionQuery(sender, number, service):
            document = ["sole-version", sender, number, service]
        case VersionResponse(sender, number, SoleVersion(version, confirmed)):
            document = ["sole-version-is", sender, number, version, confirmed]
        case StreamResponse(sender, number, version):
            document = ["stream-version", sender, number, version]
        case BroadcastMessage(sender, VersionSeen(service, version)):
            document = ["version", sender, service, version]
        case BroadcastMessage(sender, ZoneChange(zone, evacuated, revision)):
            document = ["zone", sender, zone, evacuated, revision]
        case BroadcastMessage(sender, TargetTerminated(start, fingerprints)):
            pair = [start.instance_id, start.started_ms]
            document = ["ended", sender, pair, list(fingerprints)]
        case BroadcastMessage(sender, RequestRecord() as record):
            starts = encode_starts(record.terminations), encode_starts(
                record.invalidated
            )
            document = [
                "record",
                sender,
                record.fingerprint,
                *starts,
                record.was_answered,
            ]
    return json.dumps(document, separators=(",", ":")).encode()


#: Exceptions that decoding arbitrary bytes may raise, including documents that are
#: nested too deeply or hold numbers outside the range of a type.
_DECODE_ERRORS = (
    ValueError,
    TypeError,
    LookupError,
    AttributeError,
    OverflowError,
    RecursionError,
)


def decode(data: bytes) -> Message | None:
    """Return the message of a datagram, None if it is malformed."""
    try:
        kind, sender, *rest = json.loads(data)
        name = InstanceId(str(sender))
        match kind, rest:
            case "state", [sequence, surplus, load, interval_s, *capacity]:
                headroom, reaches_store = [*capacity, None, None][:2]
                return PeerState(
                    name,
                    int(sequence),
                    {ClientAccountName(key): int(surplus[key]) for key in surplus},
                    {
                        TargetName(key): LocalLoad(int(running), int(unread_tokens))
                        for key, (running, unread_tokens) in load.items()
                    },
                    float(interval_s),
                    _decode_headroom(headroom),
                    reaches_store is not False,
                )
            case "read", [prefixes]:
                return PrefixesRead(name, _decode_prefixes(prefixes))
            case "limits", [sequence, clock_ms, limits, final]:
                return Limits(
                    name, _decode_statement(sequence, clock_ms, limits, final)
                )
            case "heard", [sequence]:
                return Acknowledgement(name, int(sequence))
            case "waived", [sequence]:
                return Waiver(name, int(sequence))
            case "inquiry", [about]:
                return StatementRequest(name, InstanceId(str(about)))
            case "testimony", [about, sequence, clock_ms, limits, final, *waived]:
                received = _decode_statement(sequence, clock_ms, limits, final)
                if waived:
                    received = evolve(received, waived_ms=float(waived[0]))
                return StatementResponse(name, InstanceId(str(about)), received)
            case "ask", [transfer_id, account, min_tokens, wanted_tokens]:
                return LoanRequest(
                    name,
                    TransferId(str(transfer_id)),
                    ClientAccountName(str(account)),
                    int(min_tokens),
                    int(wanted_tokens),
                )
            case "offer", [transfer_id, tokens, left_tokens]:
                return LoanResponse(
                    name, TransferId(str(transfer_id)), int(tokens), int(left_tokens)
                )
            case "permit", [start, number, rate, sends]:
                (limited_start,) = decode_starts([start])
                rate_per_s = _decode_rate(rate)
                return PermitQuery(
                    name, limited_start, int(number), rate_per_s, int(sends)
                )
            case "permitted", [number, sends, first_in_s, interval_s, retry_in_s]:
                permits = Permits(
                    int(sends), float(first_in_s), float(interval_s), float(retry_in_s)
                )
                return PermitResponse(name, int(number), permits)
            case "limit", [start, rate, version]:
                (limited_start,) = decode_starts([start])
                limit_per_s = None if rate is None else _decode_rate(rate)
                return BroadcastMessage(
                    name, LimitReport(limited_start, limit_per_s, int(version))
                )
            case "leaving", [start]:
                (leaving_start,) = decode_starts([start])
                return BroadcastMessage(name, TargetLeaving(leaving_start))
            case "began", [records]:
                return StreamsBegun(
                    name,
                    tuple(
                        StreamRecord(StreamKey(str(key)), str(service), str(version))
                        for key, service, version in records
                    ),
                )
            case "stream", [number, key]:
                return StreamQuery(name, int(number), StreamKey(str(key)))
            case "sole-version", [number, service]:
                return VersionQuery(name, int(number), str(service))
            case "sole-version-is", [number, version, bool(confirmed)]:
                sole = None if version is None else str(version)
                return VersionResponse(name, int(number), SoleVersion(sole, confirmed))
            case "stream-version", [number, version]:
                began = None if version is None else str(version)
                return StreamResponse(name, int(number), began)
            case "version", [service, version]:
                seen = VersionSeen(str(service), str(version))
                return BroadcastMessage(name, seen)
            case "zone", [zone, bool(evacuated), revision]:
                change = ZoneChange(
                    AvailabilityZone(str(zone)), evacuated, int(revision)
                )
                return BroadcastMessage(name, change)
            case "ended", [start, fingerprints]:
                (ended_start,) = decode_starts([start])
                known_fingerprints = tuple(
                    Fingerprint(str(text)) for text in fingerprints
                )
                return BroadcastMessage(
                    name, TargetTerminated(ended_start, known_fingerprints)
                )
            case "record", [fingerprint, terminations, invalidated, answered]:
                record = RequestRecord(
                    Fingerprint(str(fingerprint)),
                    decode_starts(terminations),
                    decode_starts(invalidated),
                    bool(answered),
                )
                return BroadcastMessage(name, record)
    except _DECODE_ERRORS:
        return None
    return None


def prefix_datagrams(
    sender: InstanceId, digests_read: Iterable[tuple[TargetName, bytes]]
) -> list[bytes]:
    """Return prefixes read as datagrams that are not fragmented."""
    datagrams = []
    prefixes: dict[TargetName, list[bytes]] = {}
    datagram_bytes = 0
    for target, digest in digests_read:
        # Includes quotes, commas and brackets; the target may be new to the datagram.
        entry_bytes = len(target) + len(digest) + _ENTRY_OVERHEAD_BYTES
        if datagram_bytes + entry_bytes > MAX_DATAGRAM_BYTES:
            datagrams.append(encode(PrefixesRead(sender, prefixes)))
            prefixes, datagram_bytes = {}, 0
        datagram_bytes += entry_bytes
        prefixes.setdefault(target, []).append(digest)
    if prefixes:
        datagrams.append(encode(PrefixesRead(sender, prefixes)))
    return datagrams


def stream_datagrams(
    sender: InstanceId, records: Iterable[StreamRecord]
) -> list[bytes]:
    """Return records of streams as datagrams that are not fragmented."""
    datagrams: list[bytes] = []
    batch: list[StreamRecord] = []
    datagram_bytes = 0
    for record in records:
        entry_bytes = _ENTRY_OVERHEAD_BYTES + sum(
            len(json.dumps(text)) for text in astuple(record)
        )
        if batch and datagram_bytes + entry_bytes > MAX_DATAGRAM_BYTES:
            datagrams.append(encode(StreamsBegun(sender, tuple(batch))))
            batch, datagram_bytes = [], 0
        datagram_bytes += entry_bytes
        batch.append(record)
    if batch:
        datagrams.append(encode(StreamsBegun(sender, tuple(batch))))
    return datagrams


def _decode_rate(rate: Any) -> float:
    """Return a limit in requests per second; raise ValueError if it cannot be one."""
    rate_per_s = float(rate)
    if not (0.0 < rate_per_s < math.inf):
        raise ValueError(f"limit of {rate_per_s} requests per second")
    return rate_per_s


def _encode_headroom(headroom: Headroom | None) -> list[Any] | None:
    """Return the headroom; None in it stands for a resource without a limit."""
    if headroom is None:
        return None
    link_bytes, processor_s = headroom.link_bytes, headroom.processor_s
    return [
        int(link_bytes) if math.isfinite(link_bytes) else None,
        round(processor_s, 4) if math.isfinite(processor_s) else None,
        headroom.in_rotation,
    ]


def _decode_headroom(encoded: Any) -> Headroom | None:
    if encoded is None:
        return None
    link_bytes, processor_s, in_rotation = encoded
    return Headroom(
        math.inf if link_bytes is None else float(link_bytes),
        math.inf if processor_s is None else float(processor_s),
        bool(in_rotation),
    )


def _decode_prefixes(prefixes: Any) -> dict[TargetName, list[bytes]]:
    return {
        TargetName(target): [str(digest).encode("latin-1") for digest in digests]
        for target, digests in prefixes.items()
    }


def _encode_statement(statement: Statement) -> list[Any]:
    return [
        statement.sequence,
        int(statement.clock_ms),
        dict(statement.limits),
        statement.final,
    ]


def _decode_statement(
    sequence: Any, clock_ms: Any, limits: Any, final: Any
) -> Statement:
    return Statement(
        int(sequence),
        float(clock_ms),
        {ClientAccountName(key): int(limits[key]) for key in limits},
        bool(final),
    )


def shortened(state: PeerState) -> PeerState:
    """Return a report that fits one datagram.

    Peers take an account that is not named to have no tokens here and ask other
    routers first, so the accounts with the largest surplus are named.
    """
    max_entries = 20
    surplus = sorted(state.surplus_tokens.items(), key=lambda item: -item[1])[
        :max_entries
    ]
    load = sorted(state.load.items(), key=lambda item: -item[1].running)[:max_entries]
    return evolve(state, surplus_tokens=dict(surplus), load=dict(load))
