"""Turn claims into messages and back, for both sides of the call."""

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

__all__ = ["answer_of", "ask_of", "identity_of", "reply_of", "request_of"]


def identity_of(request: pb.ClaimRequest) -> RequestIdentity:
    """Return which request is claimed."""
    return RequestIdentity(
        ClientAccountName(request.client_account), request.idempotency_key
    )


def ask_of(request: pb.ClaimRequest) -> ClaimProposal:
    """Return what a router asks for."""
    claim = Claim(
        claim_key(identity_of(request)),
        AttemptId(request.attempt_id),
        TargetName(request.target),
        request.target_instance_id,
        request.body_digest,
    )
    replaces = AttemptId(request.replaces_attempt_id)
    return ClaimProposal(claim, replaces, request.repeatable, request.lookup_only)


def request_of(
    identity: RequestIdentity, proposal: ClaimProposal, header: pb.Header
) -> pb.ClaimRequest:
    """Return the message for what a router asks."""
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


def reply_of(answer: ClaimAnswer) -> pb.ClaimReply:
    """Return the message for an owner's answer."""
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
            why = Refused(Reason.CLAIM_UNAVAILABLE, "the claim is not written yet")
            reply.refused.CopyFrom(refusal(why))
        case Refused() as refused:
            reply.refused.CopyFrom(refusal(refused))
    return reply


def answer_of(proposal: ClaimProposal, reply: pb.ClaimReply) -> ClaimAnswer:
    """Return what the owner said; an unreadable reply is a refusal."""
    match reply.WhichOneof("kind"):
        case "granted":
            return Granted(reply.durable)
        case "existing":
            held = reply.existing
            claim = Claim(
                proposal.claim.key,
                AttemptId(held.attempt_id),
                TargetName(held.target),
                held.target_instance_id,
                held.body_digest,
            )
            return Existing(claim)
        case "unknown":
            return CannotTell()
        case "refused":
            return Refused(_reason(reply.refused.reason), reply.refused.detail)
    return Refused(Reason.CLAIM_UNAVAILABLE, "the reply says nothing")


def _reason(code: str) -> Reason:
    # A newer process may know reasons that this one does not.
    try:
        return Reason(code)
    except ValueError:
        return Reason.CLAIM_UNAVAILABLE
