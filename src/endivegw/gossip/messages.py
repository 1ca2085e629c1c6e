"""The datagrams between routers and their encoding.

Datagrams and not streams: a stream between two machines may fall silent for
good without a reset, and what is said here is either out of date a moment later
or asked again under the same id.
"""

from __future__ import annotations

import json
from typing import Any, Iterable

from attrs import evolve, field, frozen

from endivegw.allowances.witnesses import Statement
from endivegw.decisions import LocalLoad
from endivegw.quarantine import (
    Evidence,
    Fingerprint,
    RequestRecord,
    TargetStart,
    TargetTerminated,
    decode_starts,
    encode_starts,
)
from endivegw.types import ClientAccountName, InstanceId, TargetName, TransferId

__all__ = [
    "Ask",
    "Message",
    "News",
    "Offer",
    "PeerState",
    "PrefixesRead",
    "TargetLeaving",
    "decode",
    "encode",
    "prefix_datagrams",
    "shortened",
]

#: The largest datagram that is sent; larger ones would be cut into packets, of
#: which the loss of one loses all.
MOST_BYTES = 1400

#: What JSON adds to one prefix and its target, at the most, with a part of the head.
_FRAME_BYTES = 16


@frozen
class PeerState:
    """Hold what a router says of itself.

    :param sequence: grows with each statement of one instance.
    :param spare_tokens: what it has free by account; the most needed ones where
        not all fit.
    :param load: what it has at targets.
    :param interval_s: until its next statement.
    """

    sender: InstanceId
    sequence: int
    spare_tokens: dict[ClientAccountName, int] = field(factory=dict)
    load: dict[TargetName, LocalLoad] = field(factory=dict)
    interval_s: float = 0.0


@frozen
class Limits:
    """State the sender's limits to its witnesses."""

    sender: InstanceId
    statement: Statement


@frozen
class Acknowledgement:
    """Say that a statement of limits was heard."""

    sender: InstanceId
    sequence: int


@frozen
class Inquiry:
    """Ask what a process that ended stated last."""

    sender: InstanceId
    about: InstanceId


@frozen
class Testimony:
    """Answer an inquiry with the last statement heard; its sequence is 0 for none."""

    sender: InstanceId
    about: InstanceId
    statement: Statement


@frozen
class Ask:
    """Ask a peer for tokens; repeated under the same id until it is answered."""

    sender: InstanceId
    transfer_id: TransferId
    client_account: ClientAccountName
    least_tokens: int
    wanted_tokens: int


@frozen
class Offer:
    """Answer an ask; the tokens are debited at the sender.

    :param left_tokens: what the sender has free after it.
    """

    sender: InstanceId
    transfer_id: TransferId
    tokens: int
    left_tokens: int


@frozen
class PrefixesRead:
    """Say which prompt prefixes targets have read for the sender's callers.

    :param prefixes: digests by target.
    """

    sender: InstanceId
    prefixes: dict[TargetName, list[bytes]]


@frozen
class TargetLeaving:
    """Say that a start of a target leaves, by its own word in an answer."""

    start: TargetStart


@frozen
class News:
    """Pass on what concerns all routers, whoever found it out."""

    sender: InstanceId
    told: Evidence | TargetLeaving


Message = (
    PeerState
    | PrefixesRead
    | Limits
    | Acknowledgement
    | Inquiry
    | Testimony
    | Ask
    | Offer
    | News
)


def encode(message: Message) -> bytes:
    """Return a message as one datagram."""
    match message:
        case PeerState():
            document: list[Any] = [
                "state",
                message.sender,
                message.sequence,
                message.spare_tokens,
                {
                    target: [load.running, load.unread_tokens]
                    for target, load in message.load.items()
                },
                round(message.interval_s, 3),
            ]
        case PrefixesRead(sender, prefixes):
            texts = {
                target: [digest.decode("latin-1") for digest in digests]
                for target, digests in prefixes.items()
            }
            document = ["read", sender, texts]
        case Limits(sender, statement):
            document = ["limits", sender, *_statement_fields(statement)]
        case Acknowledgement(sender, sequence):
            document = ["heard", sender, sequence]
        case Inquiry(sender, about):
            document = ["inquiry", sender, about]
        case Testimony(sender, about, statement):
            document = ["testimony", sender, about, *_statement_fields(statement)]
        case Ask():
            document = [
                "ask",
                message.sender,
                message.transfer_id,
                message.client_account,
                message.least_tokens,
                message.wanted_tokens,
            ]
        case Offer():
            document = [
                "offer",
                message.sender,
                message.transfer_id,
                message.tokens,
                message.left_tokens,
            ]
        case News(sender, TargetLeaving(start)):
            document = ["leaving", sender, [start.instance_id, start.started_ms]]
        case News(sender, TargetTerminated(start, fingerprints)):
            pair = [start.instance_id, start.started_ms]
            document = ["ended", sender, pair, list(fingerprints)]
        case News(sender, RequestRecord() as record):
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


def decode(data: bytes) -> Message | None:
    """Return the message of a datagram, None where it is none."""
    try:
        kind, sender, *rest = json.loads(data)
        name = InstanceId(str(sender))
        match kind, rest:
            case "state", [sequence, spare, load, interval_s]:
                return PeerState(
                    name,
                    int(sequence),
                    {ClientAccountName(key): int(spare[key]) for key in spare},
                    {
                        TargetName(key): LocalLoad(int(running), int(unread))
                        for key, (running, unread) in load.items()
                    },
                    float(interval_s),
                )
            case "read", [prefixes]:
                return PrefixesRead(name, _prefixes(prefixes))
            case "limits", [sequence, clock_ms, limits, final]:
                return Limits(name, _statement(sequence, clock_ms, limits, final))
            case "heard", [sequence]:
                return Acknowledgement(name, int(sequence))
            case "inquiry", [about]:
                return Inquiry(name, InstanceId(str(about)))
            case "testimony", [about, sequence, clock_ms, limits, final]:
                heard = _statement(sequence, clock_ms, limits, final)
                return Testimony(name, InstanceId(str(about)), heard)
            case "ask", [transfer_id, account, least, wanted]:
                return Ask(
                    name,
                    TransferId(str(transfer_id)),
                    ClientAccountName(str(account)),
                    int(least),
                    int(wanted),
                )
            case "offer", [transfer_id, tokens, left]:
                return Offer(name, TransferId(str(transfer_id)), int(tokens), int(left))
            case "leaving", [start]:
                (leaving,) = decode_starts([start])
                return News(name, TargetLeaving(leaving))
            case "ended", [start, fingerprints]:
                (ended,) = decode_starts([start])
                names = tuple(Fingerprint(str(text)) for text in fingerprints)
                return News(name, TargetTerminated(ended, names))
            case "record", [fingerprint, terminations, invalidated, answered]:
                record = RequestRecord(
                    Fingerprint(str(fingerprint)),
                    decode_starts(terminations),
                    decode_starts(invalidated),
                    bool(answered),
                )
                return News(name, record)
    except (ValueError, TypeError, AttributeError):
        return None
    return None


def prefix_datagrams(
    sender: InstanceId, news: Iterable[tuple[TargetName, bytes]]
) -> list[bytes]:
    """Return news of prefixes as datagrams that are not cut into packets."""
    datagrams = []
    prefixes: dict[TargetName, list[bytes]] = {}
    size = 0
    for target, digest in news:
        # With quotes, commas and brackets; a target may be new to the datagram.
        grows = len(target) + len(digest) + _FRAME_BYTES
        if size + grows > MOST_BYTES:
            datagrams.append(encode(PrefixesRead(sender, prefixes)))
            prefixes, size = {}, 0
        size += grows
        prefixes.setdefault(target, []).append(digest)
    if prefixes:
        datagrams.append(encode(PrefixesRead(sender, prefixes)))
    return datagrams


def _prefixes(found: Any) -> dict[TargetName, list[bytes]]:
    return {
        TargetName(target): [str(digest).encode("latin-1") for digest in digests]
        for target, digests in found.items()
    }


def _statement_fields(statement: Statement) -> list[Any]:
    return [
        statement.sequence,
        int(statement.clock_ms),
        dict(statement.limits),
        statement.final,
    ]


def _statement(sequence: Any, clock_ms: Any, limits: Any, final: Any) -> Statement:
    return Statement(
        int(sequence),
        float(clock_ms),
        {ClientAccountName(key): int(limits[key]) for key in limits},
        bool(final),
    )


def shortened(state: PeerState) -> PeerState:
    """Return a statement that fits one datagram.

    An account that is not named counts as spent here; peers then ask others
    first. So the accounts with the most to spare are named.
    """
    most = 20
    spare = sorted(state.spare_tokens.items(), key=lambda item: -item[1])[:most]
    load = sorted(state.load.items(), key=lambda item: -item[1].running)[:most]
    return evolve(state, spare_tokens=dict(spare), load=dict(load))
