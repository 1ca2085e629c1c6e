"""Encode claims as peer messages and decode them, for both sides of the call."""

from __future__ import annotations

from endivegw.daemons.sidecar_frames import refusal
from endivegw.peers._generated import endivegw_peers_pb2 as pb
from endivegw.requests.claims import (
    CannotTell,
    Claim,
    ClaimAnswer,
    ClaimProposal,
    Existing,
    Granted,
    Waiting,
    claim_key,
)
from endivegw.results import Reason, Refused
from endivegw.types import AttemptId, ClientAccountName, RequestIdentity, TargetName

__all__ = [
    "decode_answer",
    "decode_proposal",
    "decode_identity",
    "encode_reply",
    "encode_request",
]


def decode_identity(request: pb.ClaimRequest) -> RequestIdentity:
    """Decode the identity of the request that is claimed."""
    return RequestIdentity(
        ClientAccountName(request.client_account), request.idempotency_key
    )


def decode_proposal(request: pb.ClaimRequest) -> ClaimProposal:
    """Decode the claim that a router proposes."""
    claim = Claim(
        claim_key(decode_identity(request)),
        AttemptId(request.attempt_id),
        TargetName(request.target),
        request.target_instance_id,
        request.body_digest,
    )
    replaces = AttemptId(request.replaces_attempt_id)
    return ClaimProposal(claim, replaces, request.repeatable, request.lookup_only)


def encode_request(
    identity: RequestIdentity, proposal: ClaimProposal, header: pb.Header
) -> pb.ClaimRequest:
    """Encode the claim that a router proposes."""
    return pb.ClaimRequest(
        header=header,
        client_account=identity.client_account,
        idempotency_key=identity.idempotency_key,
        attempt_id=proposal.claim.attempt_id,
        body_digest=proposal.claim.body_digest,
        target=proposal.claim.target,
        target_instance_id=proposal.claim.incarnation,
        replaces_attempt_id=proposal.replaces,
        repeatable=proposal.repeatable,
        lookup_only=proposal.lookup_only,
    )


def encode_reply(answer: ClaimAnswer) -> pb.ClaimReply:
    """Encode a slot owner's answer."""
    reply = pb.ClaimReply()
    match answer:
        case Granted(durable=durable):
            reply.granted = True
            reply.durable = durable
        case Existing(claim=claim):
            reply.existing.attempt_id = claim.attempt_id
            reply.existing.target = claim.target
            reply.existing.target_instance_id = claim.incarnation
            reply.existing.body_digest = claim.body_digest
        case CannotTell():
            reply.unknown.reason = Reason.CLAIM_UNAVAILABLE.value
            reply.unknown.detail = "an earlier owner may have granted the key"
        case Waiting():
            pending = Refused(Reason.CLAIM_UNAVAILABLE, "the claim is not stored yet")
            reply.refused.CopyFrom(refusal(pending))
        case Refused() as refused:
            reply.refused.CopyFrom(refusal(refused))
    return reply


def decode_answer(proposal: ClaimProposal, reply: pb.ClaimReply) -> ClaimAnswer:
    """Decode a slot owner's answer; an unreadable reply counts as a refusal."""
    match reply.WhichOneof("kind"):
        case "granted":
            return Granted(reply.durable)
        case "existing":
            existing = reply.existing
            claim = Claim(
                proposal.claim.key,
                AttemptId(existing.attempt_id),
                TargetName(existing.target),
                existing.target_instance_id,
                existing.body_digest,
            )
            return Existing(claim)
        case "unknown":
            return CannotTell()
        case "refused":
            return Refused(_reason(reply.refused.reason), reply.refused.detail)
    return Refused(Reason.CLAIM_UNAVAILABLE, "the claim reply has no answer set")


def _reason(code: str) -> Reason:
    # A process of a newer version may send reasons that are unknown here.
    try:
        return Reason(code)
    except ValueError:
        return Reason.CLAIM_UNAVAILABLE
