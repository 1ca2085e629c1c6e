"""Links from a router to the sidecars that it monitors."""

from __future__ import annotations

from typing import Protocol

from attrs import frozen

from endivegw.exceptions import PeerError
from endivegw.peers import SidecarClient
from endivegw.peers._generated import endivegw_peers_pb2 as pb
from endivegw.requests.steps import CancelAttempt
from endivegw.types import TargetName, Usage

__all__ = ["CancelStatus", "SidecarDirectory", "SidecarLink", "cancel_attempt"]

#: Timeout for a sidecar to confirm a cancel. A caller whose deadline has passed
#: waits for the confirmation, and is answered without it after the timeout.
CANCEL_TIMEOUT_S = 1.0


@frozen
class SidecarLink:
    """Hold the connection to a sidecar.

    :param start_incarnation: incarnation that a start must name, so that a
        sidecar that was replaced in the meantime, and has no record of earlier
        starts, refuses it.
    """

    client: SidecarClient
    start_incarnation: str


class SidecarDirectory(Protocol):
    """Find the connections to sidecars."""

    def find(self, target: TargetName) -> SidecarLink | None:
        """Return the link to a target's sidecar, None if there is none any more."""


@frozen
class CancelStatus:
    """Hold a sidecar's answer to a cancel; all flags are False if unknown.

    :param usage: tokens consumed by the attempt; final if ``ended``.
    """

    never_started: bool
    running: bool
    ended: bool
    usage: Usage


async def cancel_attempt(
    client: SidecarClient, header: pb.Header, step: CancelAttempt
) -> CancelStatus | None:
    """Bar or stop an attempt; return None if the sidecar does not answer."""
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
    return CancelStatus(
        reply.never_started,
        reply.running,
        reply.ended,
        Usage(reply.prompt_tokens, reply.completion_tokens),
    )
