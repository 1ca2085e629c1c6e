"""The datagrams between routers and their encoding.

Datagrams and not streams: a stream between two machines may fall silent for
good without a reset, and what is said here is either out of date a moment later
or asked again under the same id.
"""

from __future__ import annotations

import json
from typing import Any

from attrs import field, frozen

from endivegw.decisions import OwnLoad
from endivegw.types import ClientAccountName, InstanceId, TargetName, TransferId

__all__ = ["Ask", "Message", "Offer", "PeerState", "decode", "encode"]

#: The largest datagram that is sent; larger ones would be cut into packets, of
#: which the loss of one loses all.
MOST_BYTES = 1400


@frozen
class PeerState:
    """Hold what a router says of itself.

    :param sequence: grows with each statement of one instance.
    :param spare_tokens: what it has free by account; the most needed ones where
        not all fit.
    :param load: what it has at targets.
    :param clock_ms: the store's clock as the sender knew it.
    :param witnesses: routers that should acknowledge the statement.
    """

    sender: InstanceId
    sequence: int
    spare_tokens: dict[ClientAccountName, int] = field(factory=dict)
    load: dict[TargetName, OwnLoad] = field(factory=dict)
    clock_ms: float = 0.0
    witnesses: tuple[InstanceId, ...] = ()


@frozen
class Acknowledgement:
    """Say that a statement made at a time was heard."""

    sender: InstanceId
    clock_ms: float


@frozen
class Inquiry:
    """Ask when a process that ended was heard last."""

    sender: InstanceId
    about: InstanceId


@frozen
class Testimony:
    """Answer an inquiry; the time is that of the last statement heard, or 0."""

    sender: InstanceId
    about: InstanceId
    heard_ms: float


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


Message = PeerState | Acknowledgement | Inquiry | Testimony | Ask | Offer


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
                int(message.clock_ms),
                message.witnesses,
            ]
        case Acknowledgement(sender, clock_ms):
            document = ["heard", sender, clock_ms]
        case Inquiry(sender, about):
            document = ["inquiry", sender, about]
        case Testimony(sender, about, heard_ms):
            document = ["testimony", sender, about, heard_ms]
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
    return json.dumps(document, separators=(",", ":")).encode()


def decode(data: bytes) -> Message | None:
    """Return the message of a datagram, None where it is none."""
    try:
        kind, sender, *rest = json.loads(data)
        name = InstanceId(str(sender))
        match kind, rest:
            case "state", [sequence, spare, load, clock_ms, witnesses]:
                return PeerState(
                    name,
                    int(sequence),
                    {ClientAccountName(key): int(spare[key]) for key in spare},
                    {
                        TargetName(key): OwnLoad(int(running), int(unread))
                        for key, (running, unread) in load.items()
                    },
                    float(clock_ms),
                    tuple(InstanceId(str(witness)) for witness in witnesses),
                )
            case "heard", [clock_ms]:
                return Acknowledgement(name, float(clock_ms))
            case "inquiry", [about]:
                return Inquiry(name, InstanceId(str(about)))
            case "testimony", [about, heard_ms]:
                return Testimony(name, InstanceId(str(about)), float(heard_ms))
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
    except (ValueError, TypeError, AttributeError):
        return None
    return None
