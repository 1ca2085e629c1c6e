"""Who is in the fleet: the VM list, heartbeats, and what may be concluded."""

from endivegw.membership.conclusions import Conclusion, PeerState, Use, conclude
from endivegw.membership.peer import Peer
from endivegw.membership.policy import MembershipPolicy
from endivegw.membership.ports import Heartbeat, HeartbeatPort, PeerAddress
from endivegw.membership.subset import TargetSubset
from endivegw.membership.view import Change, MembershipView

__all__ = [
    "Change",
    "Conclusion",
    "Heartbeat",
    "HeartbeatPort",
    "MembershipPolicy",
    "MembershipView",
    "Peer",
    "PeerAddress",
    "PeerState",
    "TargetSubset",
    "Use",
    "conclude",
]
