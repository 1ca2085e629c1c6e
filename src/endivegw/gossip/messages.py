"""The datagrams between routers and their encoding.

Datagrams and not streams: a stream between two machines may fall silent for
good without a reset, and what is said here is either out of date a moment later
or asked again under the same id.
"""

from __future__ import annotations

import json
from typing import Any

from attrs import field, frozen

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
    :param outstanding: its own requests at targets.
    """

    sender: InstanceId
    sequence: int
    spare_tokens: dict[ClientAccountName, int] = field(factory=dict)
    outstanding: dict[TargetName, int] = field(factory=dict)


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


Message = PeerState | Ask | Offer


def encode(message: Message) -> bytes:
    """Return a message as one datagram."""
    match message:
        case PeerState():
            document: list[Any] = [
                "state",
                message.sender,
                message.sequence,
                message.spare_tokens,
                message.outstanding,
            ]
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
            case "state", [sequence, spare, outstanding]:
                return PeerState(
                    name,
                    int(sequence),
                    {ClientAccountName(key): int(spare[key]) for key in spare},
                    {TargetName(key): int(outstanding[key]) for key in outstanding},
                )
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
    except (ValueError, TypeError):
        return None
    return None
