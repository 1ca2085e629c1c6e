"""Fleet membership: the VM list, heartbeats, and failure detection."""

from endivegw.membership.peer import Peer
from endivegw.membership.peer_states import (
    Eligibility,
    PeerState,
    PermittedActions,
    permitted_actions_of,
)
from endivegw.membership.policy import MembershipPolicy
from endivegw.membership.ports import Heartbeat, HeartbeatPort, PeerAddress
from endivegw.membership.subset import TargetSubset
from endivegw.membership.view import Change, MembershipView

__all__ = [
    "Change",
    "Eligibility",
    "Heartbeat",
    "HeartbeatPort",
    "MembershipPolicy",
    "MembershipView",
    "Peer",
    "PeerAddress",
    "PeerState",
    "PermittedActions",
    "TargetSubset",
    "permitted_actions_of",
]
