"""How parts of a router reach the sidecars that it watches."""

from __future__ import annotations

from typing import Protocol

from attrs import frozen

from endivegw.exceptions import PeerError
from endivegw.peers import SidecarClient
from endivegw.peers._generated import endivegw_peers_pb2 as pb
from endivegw.requests.steps import CancelAttempt
from endivegw.types import TargetName, Usage

__all__ = ["CancelWord", "SidecarDirectory", "SidecarLink", "cancel_attempt"]

#: How long a sidecar may take to confirm a cancel. The caller waits for it where
#: its deadline has passed, and gets its answer without it after that.
CANCEL_TIMEOUT_S = 1.0


@frozen
class SidecarLink:
    """Hold how to reach a sidecar.

    :param start_incarnation: what a start must name, so that a sidecar that
        was replaced meanwhile, and forgot what it ran, refuses it.
    """

    client: SidecarClient
    start_incarnation: str


class SidecarDirectory(Protocol):
    """Where the connections to sidecars are kept."""

    def find(self, target: TargetName) -> SidecarLink | None:
        """Return how to reach a target's sidecar, None when it is gone."""


@frozen
class CancelWord:
    """Hold a sidecar's answer to a cancel; all False where it cannot tell.

    :param usage: final where ``ended``.
    """

    never_started: bool
    running: bool
    ended: bool
    usage: Usage


async def cancel_attempt(
    client: SidecarClient, header: pb.Header, step: CancelAttempt
) -> CancelWord | None:
    """Bar or stop an attempt; None where no answer came."""
    request = pb.CancelRequest(
        header=header,
        attempt_id=step.attempt_id,
        target_instance_id=step.incarnation,
        bar_only=step.bar_only,
    )
    try:
        reply = await client.cancel(request, CANCEL_TIMEOUT_S)
    except PeerError:
        return None
    return CancelWord(
        reply.never_started,
        reply.running,
        reply.ended,
        Usage(reply.prompt_tokens, reply.completion_tokens),
    )
